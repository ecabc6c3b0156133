package fleet

import (
	"time"

	"redwingspread/internal/member"
)

// Timing holds the intervals, delays and timeouts of the machine.
type Timing struct {
	Member                member.Timing
	ProbeInterval         time.Duration // minimum time between two probes of an instance without traffic, used in a small fleet
	MaxProbeInterval      time.Duration // maximum time between two probes, used in a large fleet
	ProbeIntervalPerHost  time.Duration // time between two probes, per host of the fleet
	PollInterval          time.Duration // minimum time between two reads of the rows, used in a small fleet
	MaxPollInterval       time.Duration // maximum time between two reads of the rows, used in a large fleet
	PollIntervalPerHost   time.Duration // time between two reads of the rows, per host of the fleet
	RetryDelay            time.Duration // time until a failed action is retried
	SilenceTimeout        time.Duration // silence after which an instance counts as unreachable
	TakeoverStagger       time.Duration // time between the takeover attempts of two consecutive candidates
	RebalanceDelay        time.Duration // time after a change of the row before a database moves to its preferred owner
	DisputedTakeoverDelay time.Duration // time before a database is taken from an owner that changed its row after it was judged dead
	ElectionWait          time.Duration // maximum wait for a better log once a majority is fenced
	SwitchoverTimeout     time.Duration // maximum time for the next primary to catch up in a switchover
	MaxLag                time.Duration // maximum lag of a replica that takes part in a planned change
	PlannedChangeDelay    time.Duration // time from the start of service in a term to the first planned change
}

// DefaultTiming returns the timing used in production.
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

// ProbeIntervalFor returns the time between two probes of an instance in a fleet of the given size.
func (t Timing) ProbeIntervalFor(hosts int) time.Duration {
	return min(t.MaxProbeInterval, max(t.ProbeInterval, time.Duration(hosts)*t.ProbeIntervalPerHost))
}

// PollIntervalFor returns the time between two reads of the rows in a fleet of the given size.
func (t Timing) PollIntervalFor(hosts int) time.Duration {
	return min(t.MaxPollInterval, max(t.PollInterval, time.Duration(hosts)*t.PollIntervalPerHost))
}
