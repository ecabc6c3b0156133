package member

import "time"

// Timing holds the intervals and timeouts of membership.
type Timing struct {
	Interval           time.Duration // minimum time between two heartbeats to a host, used in a small fleet
	MaxInterval        time.Duration // maximum time between two heartbeats to a host, used in a large fleet
	IntervalPerHost    time.Duration // time between two heartbeats to a host, per host of the fleet
	SuspectTimeout     time.Duration // minimum silence after which a host is suspect
	UnconfirmedTimeout time.Duration // silence after which a suspect is dead when no other host can confirm the suspicion
	SuspicionTTL       time.Duration // time for which another host's suspicion confirms this host's own
}

// DefaultTiming returns the timing used in production.
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

// IntervalFor returns the time between two heartbeats to a host in a fleet of the given size.
func (t Timing) IntervalFor(hosts int) time.Duration {
	return min(t.MaxInterval, max(t.Interval, time.Duration(hosts)*t.IntervalPerHost))
}

// SuspectTimeoutFor returns the silence after which a host is suspect in a fleet of the given size: at least two intervals.
func (t Timing) SuspectTimeoutFor(hosts int) time.Duration {
	return max(t.SuspectTimeout, 2*t.IntervalFor(hosts))
}
