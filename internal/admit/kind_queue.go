package admit

import (
	"time"

	"redwingspread/internal/model"
)

// kindQueue is the queue of one kind of work; it serves its sessions in round-robin order.
type kindQueue[T any] struct {
	floor           model.Percent // guaranteed share of the kind within its rank
	virtualTime     time.Duration // slot time received so far, divided by the weight of the kind
	activeIndex     int           // index in the active kinds of the rank
	nonEmptySince   time.Time     // when the queue last stopped being empty
	lastPop         time.Time     // time of the last pop since then, or zero
	meanPopInterval time.Duration // moving average of the time between two pops while work waits
	sessions        map[model.SessionID]*sessionQueue[T]
	roundRobin      list[sessionQueue[T]] // sessions with waiting work, the next one to serve first
	tickets         list[Ticket[T]]       // all waiting tickets, oldest first
}

// sessionQueue is the queue of one session within a kind.
type sessionQueue[T any] struct {
	id             model.SessionID
	roundRobinLink link[sessionQueue[T]] // position among the sessions of the kind, or among unused session queues
	tickets        list[Ticket[T]]
}

// hasStandingQueue reports whether the queue has not been empty for longer than the given time.
func (k *kindQueue[T]) hasStandingQueue(now time.Time, after time.Duration) bool {
	return now.Sub(k.nonEmptySince) > after
}

// push adds the ticket to the queue of its session; while there is a standing queue, a new session is served first.
func (k *kindQueue[T]) push(ticket *Ticket[T], newSessionQueue func() *sessionQueue[T], standing bool) {
	s, found := k.sessions[ticket.Class.Session]
	if !found {
		s = newSessionQueue()
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

// moveToBack moves the session that is being served to the end of the round-robin order; it is nil for work of a transaction.
func (k *kindQueue[T]) moveToBack(s *sessionQueue[T]) {
	if s == nil {
		return
	}
	k.roundRobin.remove(&s.roundRobinLink)
	k.roundRobin.pushBack(&s.roundRobinLink)
}

// next returns the ticket to serve from the next session: the newest while there is a standing queue, else the oldest.
func (k *kindQueue[T]) next(standing bool) *Ticket[T] {
	s := k.roundRobin.front()
	if standing {
		return s.tickets.back()
	}
	return s.tickets.front()
}

// oldestOutsideTransaction returns the oldest ticket that is not part of a transaction that has begun, or nil.
func (k *kindQueue[T]) oldestOutsideTransaction() *Ticket[T] {
	for item := k.tickets.first; item != nil; item = item.next {
		if !item.value.Class.InTransaction {
			return item.value
		}
	}
	return nil
}

// observePop updates the mean interval between pops.
func (k *kindQueue[T]) observePop(now time.Time) {
	if !k.lastPop.IsZero() {
		k.meanPopInterval += (now.Sub(k.lastPop) - k.meanPopInterval) / smoothingDivisor
	}
	k.lastPop = now
}
