package member

import (
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Update is the state of a host, as gossiped by another one.
type Update struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence // sequence number of the host's newest heartbeat known to the sender
	State       view.Liveness
}

// severity orders updates with the same incarnation and sequence; the more severe state wins.
var severity = map[view.Liveness]int{view.Alive: 0, view.Leaving: 1, view.Suspect: 2, view.Dead: 3}

// newer reports whether the update supersedes another update about the same host.
func (u Update) newer(other Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	if u.Sequence != other.Sequence {
		return u.Sequence > other.Sequence
	}
	return severity[u.State] > severity[other.State]
}
