package admit

import (
	"time"

	"redwingspread/internal/model"
)

// StrictPriority is a policy that serves the most urgent rank first, and each rank in order of arrival.
//
// It guarantees no rank a share, so urgent work can starve the rest; it is a baseline to compare FairShare with.
type StrictPriority[T any] struct {
	ranks [model.RankCount]FIFO[T]
}

// NewStrictPriority returns an empty strict priority policy.
func NewStrictPriority[T any]() *StrictPriority[T] {
	return &StrictPriority[T]{}
}

// Push appends a ticket to the queue of its rank.
func (s *StrictPriority[T]) Push(now time.Time, ticket *Ticket[T]) {
	s.queueOf(ticket).Push(now, ticket)
}

// Pop removes and returns the oldest eligible ticket of the most urgent rank that has one, or returns nil.
func (s *StrictPriority[T]) Pop(now time.Time, eligible Eligible) *Ticket[T] {
	for i := range s.ranks {
		if ticket := s.ranks[i].Pop(now, eligible); ticket != nil {
			return ticket
		}
	}
	return nil
}

// Remove removes a waiting ticket.
func (s *StrictPriority[T]) Remove(now time.Time, ticket *Ticket[T]) {
	s.queueOf(ticket).Remove(now, ticket)
}

// Settle does nothing, because StrictPriority does not account for slot time.
func (s *StrictPriority[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the newest ticket outside a transaction of the least urgent rank below the new ticket's rank, or the new ticket.
func (s *StrictPriority[T]) Victim(newTicket *Ticket[T], _ int) *Ticket[T] {
	for rank := model.RankThree; rank > newTicket.Class.Rank; rank-- {
		if last := s.ranks[rank.Index()].standalone.back(); last != nil {
			return last
		}
	}
	return newTicket
}

// DeadlineVictim returns nil: StrictPriority never evicts work early because of its deadline.
func (s *StrictPriority[T]) DeadlineVictim(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (s *StrictPriority[T]) Waiting(rank model.Rank) int { return s.ranks[rank.Index()].Waiting(rank) }

// SetFloors does nothing, because StrictPriority guarantees no shares.
func (s *StrictPriority[T]) SetFloors([model.RankCount]model.Percent) {}

// SetWeights does nothing, because StrictPriority knows no tenants.
func (s *StrictPriority[T]) SetWeights(*model.TenantWeights) {}

// queueOf returns the queue of the ticket's rank.
func (s *StrictPriority[T]) queueOf(ticket *Ticket[T]) *FIFO[T] {
	return &s.ranks[ticket.Class.Rank.Index()]
}
