package ack

import (
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// waiter is one write that waits to be settled; its lane's lock guards it.
type waiter struct {
	tally      Tally
	want       model.Durability
	rowAllowed bool // the row may serve as its witness
	done       chan model.Durability
}

// newWaiter returns a waiter for a write.
func newWaiter(database *view.Database, point model.Point, want model.Durability) *waiter {
	return &waiter{
		tally: Tally{Term: database.Term, Point: point, GroupSize: len(database.Group)},
		want:  want,
		done:  make(chan model.Durability, 1),
	}
}

// satisfied reports whether the wanted durability is proved.
func (w *waiter) satisfied() bool {
	reached, ok := w.tally.Durability()
	return ok && (reached == model.DurabilityReplica || w.want != model.DurabilityReplica)
}
