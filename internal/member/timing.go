package member

import "time"

// Timing holds the times of membership.
type Timing struct {
	Beat       time.Duration // between two heartbeats to one neighbour in a small fleet
	BeatMost   time.Duration // the longest time between two heartbeats, in a large fleet
	BeatShare  time.Duration // added to the time between heartbeats for each host of the fleet
	Suspect    time.Duration // silence after which a host is suspect
	Lone       time.Duration // silence after which a suspect is dead when no other host can confirm it
	Accusation time.Duration // time for which another host's suspicion counts
}

// DefaultTiming returns the times that the daemon uses.
func DefaultTiming() Timing {
	return Timing{
		Beat:       100 * time.Millisecond,
		BeatMost:   2 * time.Second,
		BeatShare:  time.Millisecond,
		Suspect:    300 * time.Millisecond,
		Lone:       600 * time.Millisecond,
		Accusation: 2 * time.Second,
	}
}

// Every returns the time between two heartbeats to one neighbour in a fleet of the size.
func (t Timing) Every(hosts int) time.Duration {
	return min(t.BeatMost, max(t.Beat, time.Duration(hosts)*t.BeatShare))
}

// Silence returns the silence after which a host is suspect in a fleet of the size.
func (t Timing) Silence(hosts int) time.Duration {
	return max(t.Suspect, 2*t.Every(hosts))
}
