package allowance

import (
	"time"

	"redwingspread/internal/model"
)

// Waiter is an operation that waits for a token; it may be used again after its decision.
type Waiter[T any] struct {
	// Value is for the caller's use.
	Value T

	tenant     *tenant[T] // nil while it doesn't wait
	rank       model.Rank
	deadline   model.Instant
	prev, next *Waiter[T]
}

// Verdict is the result of Spend.
type Verdict uint8

// The verdicts.
const (
	Spent   Verdict = iota + 1 // the operation may run
	Waiting                    // a Decision will follow
	Refused                    // the operation is beyond the limit
)

// Decision is the outcome of an operation that has waited.
type Decision[T any] struct {
	Waiter     *Waiter[T]
	Spent      bool
	RetryAfter time.Duration // if it isn't spent: until the tenant gets a token; zero if unknown
}

// queue holds waiters in the order of their arrival.
type queue[T any] struct {
	first, last *Waiter[T]
	length      int
}

// push adds a waiter at the end.
func (q *queue[T]) push(w *Waiter[T]) {
	w.prev, w.next = q.last, nil
	if q.last == nil {
		q.first = w
	} else {
		q.last.next = w
	}
	q.last = w
	q.length++
}

// remove removes a waiter of the queue.
func (q *queue[T]) remove(w *Waiter[T]) {
	if w.prev == nil {
		q.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.length--
}
