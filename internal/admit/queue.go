package admit

import (
	"cmp"
	"time"

	"redwingspread/internal/model"
)

// Verdict is the queue's decision on a ticket.
type Verdict uint8

// The values of Verdict.
const (
	Wait     Verdict = iota // the ticket stays queued
	Run                     // the work may start now
	Late                    // the work is refused because it can't finish before its deadline
	Overload                // the work is refused because the queue is full of work that takes precedence
)

// Queue bounds the number of tickets in a policy and refuses work that can't finish before its deadline.
type Queue[T any] struct {
	Policy       Policy[T]
	Limit        int // maximum number of waiting tickets
	ServiceTimes *ServiceTimes
}

// Offer queues or refuses the ticket and returns its verdict; a ticket that was evicted for it is returned with the
// verdict on that one.
func (q *Queue[T]) Offer(now time.Time, ticket *Ticket[T]) (verdict Verdict, evicted *Ticket[T], evictedVerdict Verdict) {
	ticket.Arrived = now
	if ticket.Late(now, q.ServiceTimes.Expected(now, ticket.Class.Kind)) {
		return Late, nil, Wait
	}
	if limit := cmp.Or(ticket.Class.QueueLimit, q.Limit); q.Len() >= limit {
		evicted = q.Policy.Victim(ticket, limit)
		if evicted == ticket || evicted == nil {
			return Overload, nil, Wait
		}
		q.remove(now, evicted)
		evictedVerdict = Overload
	}
	ticket.Reset()
	ticket.waiting = true
	q.Policy.Push(now, ticket)
	if evicted != nil {
		return Wait, evicted, evictedVerdict
	}
	evicted = q.Policy.DeadlineVictim(now, ticket)
	if evicted == nil {
		return Wait, nil, Wait
	}
	q.remove(now, evicted)
	if evicted == ticket {
		return Overload, nil, Wait
	}
	return Wait, evicted, Late
}

// Next removes the next ticket and returns it with the verdict Run or Late; it returns nil if no eligible work waits.
func (q *Queue[T]) Next(now time.Time, eligible Eligible) (*Ticket[T], Verdict) {
	ticket := q.Policy.Pop(now, eligible)
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

// Finish records the slot time that a ticket's work took and charges the ticket for it.
func (q *Queue[T]) Finish(now time.Time, ticket *Ticket[T], slotTime time.Duration) {
	q.ServiceTimes.Observe(now, ticket.Class.Kind, slotTime)
	q.Policy.Settle(ticket, max(slotTime, 1))
}

// Cancel refunds the charge of a ticket whose work did not run.
func (q *Queue[T]) Cancel(ticket *Ticket[T]) {
	q.Policy.Settle(ticket, 0)
}

// Withdraw removes a ticket and reports whether it was still waiting.
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

// RetryAfter returns the time in which the given slots are expected to serve the current queue.
func (q *Queue[T]) RetryAfter(now time.Time, slots model.Slots) time.Duration {
	work := time.Duration(q.Len()) * q.ServiceTimes.Mean(now)
	return min(max(work/time.Duration(max(slots, 1)), minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// remove removes a waiting ticket from the policy.
func (q *Queue[T]) remove(now time.Time, ticket *Ticket[T]) {
	q.Policy.Remove(now, ticket)
	ticket.waiting = false
}
