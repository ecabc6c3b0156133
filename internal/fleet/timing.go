package fleet

import (
	"time"

	"redwingspread/internal/member"
)

// Timing holds the times of the control machine.
type Timing struct {
	Member                member.Timing
	ProbeInterval         time.Duration // between two probes of an instance that traffic does not use, in a small fleet
	MaxProbeInterval      time.Duration // the longest time between two probes, in a large fleet
	ProbeIntervalPerHost  time.Duration // added to the time between probes for each host of the fleet
	PollInterval          time.Duration // between two polls of the table in a small fleet
	MaxPollInterval       time.Duration // the longest time between two polls, in a large fleet
	PollIntervalPerHost   time.Duration // added to the time between polls for each host of the fleet
	RetryDelay            time.Duration // before a failed action is tried again
	SilenceTimeout        time.Duration // silence after which an instance counts as unreachable
	TakeoverStagger       time.Duration // between the attempts of the first and the next candidate for a database
	RebalanceDelay        time.Duration // a database stays with its owner for this time before it moves for balance
	DisputedTakeoverDelay time.Duration // before a database is taken from an owner that changed its row after it was judged dead
	ElectionWait          time.Duration // wait for a better log once a majority is fenced
	SwitchoverTimeout     time.Duration // limit of a planned switchover's catching up
	MaxLag                time.Duration // greatest lag of a replica that a planned change relies on
	PlannedChangeDelay    time.Duration // between two planned changes of a database
}

// DefaultTiming returns the times that the daemon uses.
func DefaultTiming() Timing {
	return Timing{
		Member:                member.DefaultTiming(),
		ProbeInterval:         100 * time.Millisecond,
		MaxProbeInterval:      2 * time.Second,
		ProbeIntervalPerHost:  time.Millisecond,
		PollInterval:          500 * time.Millisecond,
		MaxPollInterval:       10 * time.Second,
		PollIntervalPerHost:   5 * time.Millisecond,
		RetryDelay:            100 * time.Millisecond,
		SilenceTimeout:        250 * time.Millisecond,
		TakeoverStagger:       200 * time.Millisecond,
		RebalanceDelay:        10 * time.Second,
		DisputedTakeoverDelay: 10 * time.Second,
		ElectionWait:          50 * time.Millisecond,
		SwitchoverTimeout:     250 * time.Millisecond,
		MaxLag:                500 * time.Millisecond,
		PlannedChangeDelay:    2 * time.Second,
	}
}

// ProbeIntervalFor returns the time between two probes of an instance in a fleet of the size.
func (t Timing) ProbeIntervalFor(hosts int) time.Duration {
	return min(t.MaxProbeInterval, max(t.ProbeInterval, time.Duration(hosts)*t.ProbeIntervalPerHost))
}

// PollIntervalFor returns the time between two polls of the table in a fleet of the size.
func (t Timing) PollIntervalFor(hosts int) time.Duration {
	return min(t.MaxPollInterval, max(t.PollInterval, time.Duration(hosts)*t.PollIntervalPerHost))
}
