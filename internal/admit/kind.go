package admit

import (
	"time"

	"redwingspread/internal/model"
)

// kind is the queue of one kind of work: its sessions take turns.
type kind[T any] struct {
	floor    model.Percent
	virtual  time.Duration // slot time over weight that the kind has had
	place    int           // index among the rank's active kinds
	idle     time.Time     // when the kind last had no waiting work
	lastPop  time.Time     // zero when the kind had no waiting work since
	gap      time.Duration // learnt time between two turns of the kind while it waits
	sessions map[model.SessionID]*session[T]
	ring     list[session[T]] // sessions with waiting work, in order of their turns
	tickets  list[Ticket[T]]  // all waiting tickets, oldest first
}

// session is the queue of one session within a kind.
type session[T any] struct {
	id      model.SessionID
	ring    link[session[T]]
	tickets list[Ticket[T]]
}

// standing reports whether the queue was not empty for the given time.
func (k *kind[T]) standing(now time.Time, after time.Duration) bool {
	return now.Sub(k.idle) > after
}

// push adds the ticket to its session's queue; in a standing queue a new session's turn comes first.
func (k *kind[T]) push(ticket *Ticket[T], take func() *session[T], standing bool) {
	s, found := k.sessions[ticket.Class.Session]
	if !found {
		s = take()
		s.id = ticket.Class.Session
		k.sessions[s.id] = s
		if standing {
			k.ring.pushFront(&s.ring)
		} else {
			k.ring.pushBack(&s.ring)
		}
	}
	ticket.session = s
	s.tickets.pushBack(&ticket.turn)
}

// rotate moves the session, which has had its turn, behind all others.
func (k *kind[T]) rotate(s *session[T]) {
	if s == nil {
		return
	}
	k.ring.remove(&s.ring)
	k.ring.pushBack(&s.ring)
}

// choose returns the next session's ticket: its newest in a standing queue, its oldest otherwise.
func (k *kind[T]) choose(standing bool) *Ticket[T] {
	s := k.ring.front()
	if standing {
		return s.tickets.back()
	}
	return s.tickets.front()
}

// oldest returns the oldest ticket that is not part of a transaction that has begun, or nil.
func (k *kind[T]) oldest() *Ticket[T] {
	for place := k.tickets.first; place != nil; place = place.next {
		if !place.element.Class.InTransaction {
			return place.element
		}
	}
	return nil
}

// popped learns the time between two turns.
func (k *kind[T]) popped(now time.Time) {
	if !k.lastPop.IsZero() {
		k.gap += (now.Sub(k.lastPop) - k.gap) / sampleWeight
	}
	k.lastPop = now
}
