package admit

import (
	"cmp"
	"time"

	"redwingspread/internal/model"
)

// Verdict tells what becomes of a ticket.
type Verdict uint8

// The verdicts.
const (
	Wait     Verdict = iota // the ticket waits for its turn
	Run                     // the ticket's work starts now
	Late                    // the ticket's work can't finish before its deadline
	Overload                // the queue is full of work at least as urgent
)

// Queue bounds a policy's memory and refuses what can't finish in time.
type Queue[T any] struct {
	Policy       Policy[T]
	Limit        int // tickets that may wait
	ServiceTimes *ServiceTimes
}

// Offer adds the ticket and returns its verdict, and the ticket that was taken out for it with its own verdict.
func (q *Queue[T]) Offer(now time.Time, ticket *Ticket[T]) (verdict Verdict, out *Ticket[T], outVerdict Verdict) {
	ticket.Arrived = now
	if ticket.Late(now, q.ServiceTimes.Expected(now, ticket.Class.Kind)) {
		return Late, nil, Wait
	}
	if limit := cmp.Or(ticket.Class.QueueLimit, q.Limit); q.Len() >= limit {
		out = q.Policy.Victim(ticket, limit)
		if out == ticket || out == nil {
			return Overload, nil, Wait
		}
		q.remove(now, out)
		outVerdict = Overload
	}
	ticket.Reset()
	ticket.waiting = true
	q.Policy.Push(now, ticket)
	if out != nil {
		return Wait, out, outVerdict
	}
	out = q.Policy.DeadlineVictim(now, ticket)
	if out == nil {
		return Wait, nil, Wait
	}
	q.remove(now, out)
	if out == ticket {
		return Overload, nil, Wait
	}
	return Wait, out, Late
}

// Next takes out the ticket whose turn it is with the verdict Run, or one with the verdict Late, or nil.
func (q *Queue[T]) Next(now time.Time, room Eligible) (*Ticket[T], Verdict) {
	ticket := q.Policy.Pop(now, room)
	if ticket == nil {
		return nil, Wait
	}
	ticket.waiting = false
	expected := q.ServiceTimes.Expected(now, ticket.Class.Kind)
	if ticket.Late(now, expected) {
		return ticket, Late
	}
	q.Policy.Settle(ticket, max(expected, 1))
	return ticket, Run
}

// Finish learns the slot time that a ticket's work took and settles its charge.
func (q *Queue[T]) Finish(now time.Time, ticket *Ticket[T], took time.Duration) {
	q.ServiceTimes.Observe(now, ticket.Class.Kind, took)
	q.Policy.Settle(ticket, max(took, 1))
}

// Cancel settles the charge of a ticket whose work never started.
func (q *Queue[T]) Cancel(ticket *Ticket[T]) {
	q.Policy.Settle(ticket, 0)
}

// Withdraw takes a ticket out and reports false when it no longer waits.
func (q *Queue[T]) Withdraw(now time.Time, ticket *Ticket[T]) bool {
	if !ticket.waiting {
		return false
	}
	q.remove(now, ticket)
	return true
}

// Len returns the number of waiting tickets.
func (q *Queue[T]) Len() int {
	waiting := 0
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		waiting += q.Policy.Waiting(rank)
	}
	return waiting
}

// RetryAfter returns when the queue of now will have been served by the given slots.
func (q *Queue[T]) RetryAfter(now time.Time, slots model.Slots) time.Duration {
	work := time.Duration(q.Len()) * q.ServiceTimes.Mean(now)
	return min(max(work/time.Duration(max(slots, 1)), minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// remove takes a waiting ticket out of the policy.
func (q *Queue[T]) remove(now time.Time, ticket *Ticket[T]) {
	q.Policy.Remove(now, ticket)
	ticket.waiting = false
}
