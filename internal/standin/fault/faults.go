package fault

import (
	"slices"
	"time"
)

// Probability is a part of all requests, from 0 to 1.
type Probability float64

// Sender names a host or an instance that sends requests.
type Sender string

// anySender stands for all parties.
const anySender Sender = "*"

// Faults are the ways in which a stand-in fails at present.
type Faults struct {
	Lag            *time.Duration // replication lag; nil leaves it as it is set
	IsolatedFrom   []Sender       // parties that get no answer; "*" stands for all
	Outage         bool           // every request fails before it has an effect
	SlowBy         time.Duration  // added to every request
	LoseAnswers    Probability    // answers lost after the change took effect
	DoubleRequests Probability    // requests that run twice
	CutAnswers     Probability    // answers that are cut short
	LateAnswers    Probability    // answers that are delayed by Late
	LateBy         time.Duration
	Leaving        bool // the endpoint announces that it leaves
}

// isolates reports whether the party gets no answer.
func (f Faults) isolates(party Sender) bool {
	return slices.Contains(f.IsolatedFrom, anySender) || slices.Contains(f.IsolatedFrom, party)
}
