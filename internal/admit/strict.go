package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Strict serves the most urgent rank first and each rank in order of arrival, the baseline without floors.
type Strict[T any] struct {
	ranks [model.RankCount]Arrival[T]
}

// NewStrict returns an empty strict priority policy.
func NewStrict[T any]() *Strict[T] {
	return &Strict[T]{}
}

// Push adds a ticket at the end of its rank.
func (s *Strict[T]) Push(now time.Time, ticket *Ticket[T]) {
	s.rank(ticket).Push(now, ticket)
}

// Pop removes the oldest ticket of the most urgent rank that has any.
func (s *Strict[T]) Pop(now time.Time, room Room) *Ticket[T] {
	for i := range s.ranks {
		if ticket := s.ranks[i].Pop(now, room); ticket != nil {
			return ticket
		}
	}
	return nil
}

// Remove takes out a waiting ticket.
func (s *Strict[T]) Remove(now time.Time, ticket *Ticket[T]) {
	s.rank(ticket).Remove(now, ticket)
}

// Settle does nothing, as nothing is charged.
func (s *Strict[T]) Settle(*Ticket[T], time.Duration) {}

// Victim returns the newest ticket of the least urgent rank, when that is less urgent than the new one.
func (s *Strict[T]) Victim(ticket *Ticket[T], _ int) *Ticket[T] {
	for rank := model.RankThree; rank > ticket.Class.Rank; rank-- {
		if last := s.ranks[rank.Index()].plain.back(); last != nil {
			return last
		}
	}
	return ticket
}

// Doomed returns nil: nothing is refused before its turn.
func (s *Strict[T]) Doomed(time.Time, *Ticket[T]) *Ticket[T] { return nil }

// Waiting returns the number of waiting tickets of the rank.
func (s *Strict[T]) Waiting(rank model.Rank) int { return s.ranks[rank.Index()].Waiting(rank) }

// SetFloors does nothing, as there are no floors.
func (s *Strict[T]) SetFloors([model.RankCount]model.Percent) {}

// rank returns the queue of the ticket's rank.
func (s *Strict[T]) rank(ticket *Ticket[T]) *Arrival[T] {
	return &s.ranks[ticket.Class.Rank.Index()]
}
