package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Eligible says which work can start now.
type Eligible uint8

// The values of Eligible.
const (
	EligibleAny          Eligible = iota // any work can start
	EligibleTransactions                 // only work of transactions that already hold a connection can start
)

// Policy orders waiting tickets; it does no I/O, and callers serialize their calls.
type Policy[T any] interface {
	// Push adds a ticket.
	Push(now time.Time, ticket *Ticket[T])
	// Pop removes and returns the eligible ticket that is next, or returns nil.
	Pop(now time.Time, eligible Eligible) *Ticket[T]
	// Remove removes a waiting ticket.
	Remove(now time.Time, ticket *Ticket[T])
	// Settle replaces the charge of a popped ticket by the given slot time.
	Settle(ticket *Ticket[T], slotTime time.Duration)
	// Victim returns the waiting ticket to evict for the new one when the queue is full, or the new one to refuse it.
	Victim(newTicket *Ticket[T], limit int) *Ticket[T]
	// DeadlineVictim returns a waiting ticket that would miss its deadline now that the given one waits too, or nil.
	DeadlineVictim(now time.Time, ticket *Ticket[T]) *Ticket[T]
	// Waiting returns the number of waiting tickets of the rank.
	Waiting(rank model.Rank) int
	// SetFloors sets the guaranteed share of capacity of each rank.
	SetFloors(floors [model.RankCount]model.Percent)
	// SetWeights sets the weights of the tenants; nil means that no tenants are configured.
	SetWeights(weights *model.TenantWeights)
}
