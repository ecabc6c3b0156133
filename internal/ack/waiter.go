package ack

import (
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// waiter is a write that waits for its durability; the mutex of its batch guards it.
type waiter struct {
	tally      Tally
	want       model.Durability
	rowAllowed bool                  // whether the row may prove the primary's term
	done       chan model.Durability // receives the durability once satisfied
}

// newWaiter returns a waiter for a write in the database's current term.
func newWaiter(database *view.Database, point model.Point, want model.Durability) *waiter {
	return &waiter{
		tally: Tally{Term: database.Term, Point: point, GroupSize: len(database.Group)},
		want:  want,
		done:  make(chan model.Durability, 1),
	}
}

// satisfied reports whether the wanted durability is proven.
func (w *waiter) satisfied() bool {
	reached, ok := w.tally.Durability()
	return ok && (reached == model.DurabilityReplica || w.want != model.DurabilityReplica)
}
