package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Class is what admission knows of one piece of work.
type Class struct {
	Rank          model.Rank
	Kind          model.KindID
	Session       model.SessionID
	Floor         model.Percent // guaranteed share of the rank for the kind
	QueueLimit    int           // work that may wait for this one to be let in; zero for the queue's limit
	InTransaction bool          // true when the work belongs to a transaction that has begun
}

// Ticket is one piece of waiting work, which the policy links into its lists without allocating.
type Ticket[T any] struct {
	Class    Class
	Arrived  time.Time
	Deadline time.Time // zero when there is none
	Value    T

	charged   time.Duration // slot time that was charged when the ticket was popped
	waiting   bool
	queueLink link[Ticket[T]] // place among the tickets of its session
	ageLink   link[Ticket[T]] // place among the tickets of its kind, oldest first
	session   *sessionQueue[T]
	kind      *kindQueue[T]
}

// Reset makes the ticket ready for one more wait; Queue.Offer does it itself.
func (t *Ticket[T]) Reset() {
	t.queueLink = link[Ticket[T]]{value: t}
	t.ageLink = link[Ticket[T]]{value: t}
	t.session, t.kind = nil, nil
}

// Late reports whether work that takes the given time would miss the ticket's deadline.
func (t *Ticket[T]) Late(now time.Time, took time.Duration) bool {
	return !t.Deadline.IsZero() && now.Add(took).After(t.Deadline)
}
