package admit

import (
	"time"

	"redwingspread/internal/model"
)

// StrictPriority serves the most urgent rank first and each rank in order of arrival, the baseline without floors.
type StrictPriority[T any] struct {
	ranks [model.Ranks]FIFO[T]
}

// NewStrictPriority returns an empty strict priority policy.
func NewStrictPriority[T any]() *StrictPriority[T] {
	return &StrictPriority[T]{}
}

// Push adds a ticket at the end of its rank.
func (s *StrictPriority[T]) Push(now time.Time, ticket *Ticket[T]) {
	s.queueOf(ticket).Push(now, ticket)
}

// Pop removes the oldest ticket of the most urgent rank that has any.
func (s *StrictPriority[T]) Pop(now time.Time, room Eligible) *Ticket[T] {
	for i := range s.ranks {
		if ticket := s.ranks[i].Pop(now, room); ticket != nil {
			return ticket
		}
	}
	return nil
}

// Remove takes out a waiting ticket.
func (s *StrictPriority[T]) Remove(now time.Time, ticket *Ticket[T]) {
	s.queueOf(ticket).Remove(now, ticket)
}

// Settle does nothing, as nothing is charged.
func (s *StrictPriority[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the newest ticket of the least urgent rank, when that is less urgent than the new one.
func (s *StrictPriority[T]) Victim(ticket *Ticket[T], _ int) *Ticket[T] {
	for rank := model.RankThree; rank > ticket.Class.Rank; rank-- {
		if last := s.ranks[rank.Index()].standalone.back(); last != nil {
			return last
		}
	}
	return ticket
}

// DeadlineVictim returns nil: nothing is refused before its turn.
func (s *StrictPriority[T]) DeadlineVictim(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (s *StrictPriority[T]) Waiting(rank model.Rank) int { return s.ranks[rank.Index()].Waiting(rank) }

// SetFloors does nothing, as there are no floors.
func (s *StrictPriority[T]) SetFloors([model.Ranks]model.Percent) {}

// queueOf returns the queue of the ticket's rank.
func (s *StrictPriority[T]) queueOf(ticket *Ticket[T]) *FIFO[T] {
	return &s.ranks[ticket.Class.Rank.Index()]
}
