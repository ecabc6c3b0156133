package fault

import (
	"slices"
	"time"
)

// Probability is the probability with which a fault affects a request, from 0 to 1.
type Probability float64

// Sender is the id of a host or an instance that sends requests.
type Sender string

// anySender matches all senders.
const anySender Sender = "*"

// Faults describes how a stand-in fails.
type Faults struct {
	Lag            *time.Duration // replication lag, or lag of the member list; nil keeps the configured one
	IsolatedFrom   []Sender       // senders that get no response; "*" matches all
	Outage         bool           // whether every request fails before it has an effect
	SlowBy         time.Duration  // delay before every request is handled
	LoseAnswers    Probability    // responses lost after the request took effect
	DoubleRequests Probability    // requests that are handled twice
	CutAnswers     Probability    // responses that are truncated
	LateAnswers    Probability    // responses that are delayed by LateBy
	LateBy         time.Duration  // delay of late responses
	Leaving        bool           // whether the instance announces that it is leaving and opens no connections
}

// isolates reports whether the sender gets no response.
func (f Faults) isolates(sender Sender) bool {
	return slices.Contains(f.IsolatedFrom, anySender) || slices.Contains(f.IsolatedFrom, sender)
}
