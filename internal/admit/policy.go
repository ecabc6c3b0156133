package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Eligible tells which work can start now.
type Eligible uint8

// The kinds of room.
const (
	EligibleAny          Eligible = iota // any work can start
	EligibleTransactions                 // only work of transactions that hold their connection can start
)

// Policy orders waiting tickets; it is pure and is called by one goroutine at a time.
type Policy[T any] interface {
	// Push adds a ticket.
	Push(now time.Time, ticket *Ticket[T])
	// Pop removes the ticket whose turn it is, or returns nil.
	Pop(now time.Time, room Eligible) *Ticket[T]
	// Remove takes out a waiting ticket.
	Remove(now time.Time, ticket *Ticket[T])
	// Settle corrects the charge of a popped ticket to the slot time that it took.
	Settle(ticket *Ticket[T], took time.Duration)
	// Victim returns the waiting ticket that makes room for the new one when memory is full, or the new one itself.
	Victim(ticket *Ticket[T], limit int) *Ticket[T]
	// DeadlineVictim returns a waiting ticket that the arrival of the given one keeps from its deadline, or nil.
	DeadlineVictim(now time.Time, ticket *Ticket[T]) *Ticket[T]
	// Waiting returns the number of waiting tickets of the rank.
	Waiting(rank model.Rank) int
	// SetFloors sets the guaranteed share of capacity of each rank.
	SetFloors(floors [model.Ranks]model.Percent)
}
