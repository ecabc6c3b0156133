package admit

import (
	"time"

	"redwingspread/internal/model"
)

// kindQueue is the queue of one kind of work: its sessions take turns.
type kindQueue[T any] struct {
	floor           model.Percent
	virtualTime     time.Duration // slot time over weight that the kind has had
	activeIndex     int           // index among the rank's active kinds
	nonEmptySince   time.Time     // when the kind last had no waiting work
	lastPop         time.Time     // zero when the kind had no waiting work since
	meanPopInterval time.Duration // learnt time between two turns of the kind while it waits
	sessions        map[model.SessionID]*sessionQueue[T]
	roundRobin      list[sessionQueue[T]] // sessions with waiting work, in order of their turns
	tickets         list[Ticket[T]]       // all waiting tickets, oldest first
}

// sessionQueue is the queue of one session within a kind.
type sessionQueue[T any] struct {
	id             model.SessionID
	roundRobinLink link[sessionQueue[T]]
	tickets        list[Ticket[T]]
}

// hasStandingQueue reports whether the queue was not empty for the given time.
func (k *kindQueue[T]) hasStandingQueue(now time.Time, after time.Duration) bool {
	return now.Sub(k.nonEmptySince) > after
}

// push adds the ticket to its session's queue; in a standing queue a new session's turn comes first.
func (k *kindQueue[T]) push(ticket *Ticket[T], take func() *sessionQueue[T], standing bool) {
	s, found := k.sessions[ticket.Class.Session]
	if !found {
		s = take()
		s.id = ticket.Class.Session
		k.sessions[s.id] = s
		if standing {
			k.roundRobin.pushFront(&s.roundRobinLink)
		} else {
			k.roundRobin.pushBack(&s.roundRobinLink)
		}
	}
	ticket.session = s
	s.tickets.pushBack(&ticket.queueLink)
}

// moveToBack moves the session, which has had its turn, behind all others.
func (k *kindQueue[T]) moveToBack(s *sessionQueue[T]) {
	if s == nil {
		return
	}
	k.roundRobin.remove(&s.roundRobinLink)
	k.roundRobin.pushBack(&s.roundRobinLink)
}

// next returns the next session's ticket: its newest in a standing queue, its oldest otherwise.
func (k *kindQueue[T]) next(standing bool) *Ticket[T] {
	s := k.roundRobin.front()
	if standing {
		return s.tickets.back()
	}
	return s.tickets.front()
}

// oldestOutsideTransaction returns the oldest ticket that is not part of a transaction that has begun, or nil.
func (k *kindQueue[T]) oldestOutsideTransaction() *Ticket[T] {
	for place := k.tickets.first; place != nil; place = place.next {
		if !place.value.Class.InTransaction {
			return place.value
		}
	}
	return nil
}

// observePop learns the time between two turns.
func (k *kindQueue[T]) observePop(now time.Time) {
	if !k.lastPop.IsZero() {
		k.meanPopInterval += (now.Sub(k.lastPop) - k.meanPopInterval) / smoothingDivisor
	}
	k.lastPop = now
}
