package admit

import (
	"time"

	"redwingspread/internal/model"
)

// FIFO is first-in-first-out, the baseline without urgency.
type FIFO[T any] struct {
	standalone   list[Ticket[T]]
	transactions list[Ticket[T]]
	waiting      [model.Ranks]int
}

// NewFIFO returns an empty first-in-first-out policy.
func NewFIFO[T any]() *FIFO[T] {
	return &FIFO[T]{}
}

// Push adds a ticket at the end.
func (a *FIFO[T]) Push(_ time.Time, ticket *Ticket[T]) {
	a.listOf(ticket).pushBack(&ticket.queueLink)
	a.waiting[ticket.Class.Rank.Index()]++
}

// Pop removes the oldest ticket.
func (a *FIFO[T]) Pop(now time.Time, room Eligible) *Ticket[T] {
	ticket := a.transactions.front()
	plain := a.standalone.front()
	if room == EligibleAny && plain != nil && (ticket == nil || plain.Arrived.Before(ticket.Arrived)) {
		ticket = plain
	}
	if ticket != nil {
		a.Remove(now, ticket)
	}
	return ticket
}

// Remove takes out a waiting ticket.
func (a *FIFO[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	a.listOf(ticket).remove(&ticket.queueLink)
	a.waiting[ticket.Class.Rank.Index()]--
}

// Settle does nothing, as nothing is charged.
func (a *FIFO[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the new ticket: whoever comes last is refused.
func (a *FIFO[T]) Victim(ticket *Ticket[T], _ int) *Ticket[T] { return ticket }

// DeadlineVictim returns nil: nothing is refused before its turn.
func (a *FIFO[T]) DeadlineVictim(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (a *FIFO[T]) Waiting(rank model.Rank) int { return a.waiting[rank.Index()] }

// SetFloors does nothing, as there are no floors.
func (a *FIFO[T]) SetFloors([model.Ranks]model.Percent) {}

// listOf returns the list that holds the ticket.
func (a *FIFO[T]) listOf(ticket *Ticket[T]) *list[Ticket[T]] {
	if ticket.Class.InTransaction {
		return &a.transactions
	}
	return &a.standalone
}
