package admit

import (
	"time"

	"redwingspread/internal/model"
)

// FIFO is a policy that serves work in order of arrival and ignores ranks.
//
// It orders transactions of one rank that wait for a connection, and is a baseline to compare FairShare with.
type FIFO[T any] struct {
	standalone   list[Ticket[T]] // work outside a begun transaction
	transactions list[Ticket[T]] // work of begun transactions
	waiting      [model.RankCount]int
}

// NewFIFO returns an empty FIFO policy.
func NewFIFO[T any]() *FIFO[T] {
	return &FIFO[T]{}
}

// Push appends a ticket.
func (f *FIFO[T]) Push(_ time.Time, ticket *Ticket[T]) {
	f.listOf(ticket).pushBack(&ticket.queueLink)
	f.waiting[ticket.Class.Rank.Index()]++
}

// Pop removes and returns the oldest eligible ticket, or returns nil.
func (f *FIFO[T]) Pop(now time.Time, eligible Eligible) *Ticket[T] {
	ticket := f.transactions.front()
	standalone := f.standalone.front()
	if eligible == EligibleAny && standalone != nil && (ticket == nil || standalone.Arrived.Before(ticket.Arrived)) {
		ticket = standalone
	}
	if ticket != nil {
		f.Remove(now, ticket)
	}
	return ticket
}

// Remove removes a waiting ticket.
func (f *FIFO[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	f.listOf(ticket).remove(&ticket.queueLink)
	f.waiting[ticket.Class.Rank.Index()]--
}

// Settle does nothing, because FIFO does not account for slot time.
func (f *FIFO[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the new ticket: a full queue refuses new work.
func (f *FIFO[T]) Victim(newTicket *Ticket[T], _ int) *Ticket[T] { return newTicket }

// DeadlineVictim returns nil: FIFO never evicts work early because of its deadline.
func (f *FIFO[T]) DeadlineVictim(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (f *FIFO[T]) Waiting(rank model.Rank) int { return f.waiting[rank.Index()] }

// SetFloors does nothing, because FIFO guarantees no shares.
func (f *FIFO[T]) SetFloors([model.RankCount]model.Percent) {}

// SetWeights does nothing, because FIFO knows no tenants.
func (f *FIFO[T]) SetWeights(*model.TenantWeights) {}

// listOf returns the list that holds the ticket.
func (f *FIFO[T]) listOf(ticket *Ticket[T]) *list[Ticket[T]] {
	if ticket.Class.InTransaction {
		return &f.transactions
	}
	return &f.standalone
}
