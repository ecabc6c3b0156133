package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Arrival is first-in-first-out, the baseline without urgency.
type Arrival[T any] struct {
	plain        list[Ticket[T]]
	transactions list[Ticket[T]]
	waiting      [model.RankCount]int
}

// NewArrival returns an empty first-in-first-out policy.
func NewArrival[T any]() *Arrival[T] {
	return &Arrival[T]{}
}

// Push adds a ticket at the end.
func (a *Arrival[T]) Push(_ time.Time, ticket *Ticket[T]) {
	a.list(ticket).pushBack(&ticket.turn)
	a.waiting[ticket.Class.Rank.Index()]++
}

// Pop removes the oldest ticket.
func (a *Arrival[T]) Pop(now time.Time, room Room) *Ticket[T] {
	ticket := a.transactions.front()
	plain := a.plain.front()
	if room == RoomAny && plain != nil && (ticket == nil || plain.Arrived.Before(ticket.Arrived)) {
		ticket = plain
	}
	if ticket != nil {
		a.Remove(now, ticket)
	}
	return ticket
}

// Remove takes out a waiting ticket.
func (a *Arrival[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	a.list(ticket).remove(&ticket.turn)
	a.waiting[ticket.Class.Rank.Index()]--
}

// Settle does nothing, as nothing is charged.
func (a *Arrival[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the new ticket: whoever comes last is refused.
func (a *Arrival[T]) Victim(ticket *Ticket[T], _ int) *Ticket[T] { return ticket }

// Doomed returns nil: nothing is refused before its turn.
func (a *Arrival[T]) Doomed(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (a *Arrival[T]) Waiting(rank model.Rank) int { return a.waiting[rank.Index()] }

// SetFloors does nothing, as there are no floors.
func (a *Arrival[T]) SetFloors([model.RankCount]model.Percent) {}

// list returns the list that holds the ticket.
func (a *Arrival[T]) list(ticket *Ticket[T]) *list[Ticket[T]] {
	if ticket.Class.InTransaction {
		return &a.transactions
	}
	return &a.plain
}
