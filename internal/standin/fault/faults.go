package fault

import (
	"slices"
	"time"
)

// Share is a part of all requests, from 0 to 1.
type Share float64

// Party names a host or an instance that sends requests.
type Party string

// everyone stands for all parties.
const everyone Party = "*"

// Faults are the ways in which a stand-in fails at present.
type Faults struct {
	Lag            *time.Duration // replication lag; nil leaves it as it is set
	IsolatedFrom   []Party        // parties that get no answer; "*" stands for all
	Outage         bool           // every request fails before it has an effect
	Slow           time.Duration  // added to every request
	LoseAnswers    Share          // answers lost after the change took effect
	DoubleRequests Share          // requests that run twice
	CutAnswers     Share          // answers that are cut short
	LateAnswers    Share          // answers that are delayed by Late
	Late           time.Duration
	Leaving        bool // the endpoint announces that it leaves
}

// isolates reports whether the party gets no answer.
func (f Faults) isolates(party Party) bool {
	return slices.Contains(f.IsolatedFrom, everyone) || slices.Contains(f.IsolatedFrom, party)
}
