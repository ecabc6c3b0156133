package member

import (
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Update is what one host tells another of a third.
type Update struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence // newest heartbeat of the host that the teller knows of
	State       view.Liveness
}

// severity orders news of the same incarnation and sequence.
var severity = map[view.Liveness]int{view.Alive: 0, view.Leaving: 1, view.Suspect: 2, view.Dead: 3}

// newer reports whether the news tells more than the other news of the same host.
func (n Update) newer(other Update) bool {
	if n.Incarnation != other.Incarnation {
		return n.Incarnation > other.Incarnation
	}
	if n.Sequence != other.Sequence {
		return n.Sequence > other.Sequence
	}
	return severity[n.State] > severity[other.State]
}
