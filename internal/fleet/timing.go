package fleet

import (
	"time"

	"redwingspread/internal/member"
)

// Timing holds the times of the control machine.
type Timing struct {
	Member     member.Timing
	Probe      time.Duration // between two probes of an instance that traffic does not use, in a small fleet
	ProbeMost  time.Duration // the longest time between two probes, in a large fleet
	ProbeShare time.Duration // added to the time between probes for each host of the fleet
	Rows       time.Duration // between two polls of the table in a small fleet
	RowsMost   time.Duration // the longest time between two polls, in a large fleet
	RowsShare  time.Duration // added to the time between polls for each host of the fleet
	Retry      time.Duration // before a failed action is tried again
	Unanswered time.Duration // silence after which an instance counts as unreachable
	Stagger    time.Duration // between the attempts of the first and the next candidate for a database
	Stable     time.Duration // a database stays with its owner for this time before it moves for balance
	Hold       time.Duration // before a database is taken from an owner that changed its row after it was judged dead
	Settle     time.Duration // wait for a better log once a majority is fenced
	Switch     time.Duration // limit of a planned switchover's catching up
	Lag        time.Duration // greatest lag of a replica that a planned change relies on
	Replan     time.Duration // between two planned changes of a database
}

// DefaultTiming returns the times that the daemon uses.
func DefaultTiming() Timing {
	return Timing{
		Member:     member.DefaultTiming(),
		Probe:      100 * time.Millisecond,
		ProbeMost:  2 * time.Second,
		ProbeShare: time.Millisecond,
		Rows:       500 * time.Millisecond,
		RowsMost:   10 * time.Second,
		RowsShare:  5 * time.Millisecond,
		Retry:      100 * time.Millisecond,
		Unanswered: 250 * time.Millisecond,
		Stagger:    200 * time.Millisecond,
		Stable:     10 * time.Second,
		Hold:       10 * time.Second,
		Settle:     50 * time.Millisecond,
		Switch:     250 * time.Millisecond,
		Lag:        500 * time.Millisecond,
		Replan:     2 * time.Second,
	}
}

// Watch returns the time between two probes of an instance in a fleet of the size.
func (t Timing) Watch(hosts int) time.Duration {
	return min(t.ProbeMost, max(t.Probe, time.Duration(hosts)*t.ProbeShare))
}

// Poll returns the time between two polls of the table in a fleet of the size.
func (t Timing) Poll(hosts int) time.Duration {
	return min(t.RowsMost, max(t.Rows, time.Duration(hosts)*t.RowsShare))
}
