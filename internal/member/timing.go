package member

import "time"

// Timing holds the times of membership.
type Timing struct {
	Interval           time.Duration // between two heartbeats to one neighbour in a small fleet
	MaxInterval        time.Duration // the longest time between two heartbeats, in a large fleet
	IntervalPerHost    time.Duration // added to the time between heartbeats for each host of the fleet
	SuspectTimeout     time.Duration // silence after which a host is suspect
	UnconfirmedTimeout time.Duration // silence after which a suspect is dead when no other host can confirm it
	SuspicionTTL       time.Duration // time for which another host's suspicion counts
}

// DefaultTiming returns the times that the daemon uses.
func DefaultTiming() Timing {
	return Timing{
		Interval:           100 * time.Millisecond,
		MaxInterval:        2 * time.Second,
		IntervalPerHost:    time.Millisecond,
		SuspectTimeout:     300 * time.Millisecond,
		UnconfirmedTimeout: 600 * time.Millisecond,
		SuspicionTTL:       2 * time.Second,
	}
}

// IntervalFor returns the time between two heartbeats to one neighbour in a fleet of the size.
func (t Timing) IntervalFor(hosts int) time.Duration {
	return min(t.MaxInterval, max(t.Interval, time.Duration(hosts)*t.IntervalPerHost))
}

// SuspectTimeoutFor returns the silence after which a host is suspect in a fleet of the size.
func (t Timing) SuspectTimeoutFor(hosts int) time.Duration {
	return max(t.SuspectTimeout, 2*t.IntervalFor(hosts))
}
