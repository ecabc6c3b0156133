package admit

import (
	"time"

	"redwingspread/internal/model"
)

// FairShare serves the most urgent rank first, but first of all a rank that is owed its guaranteed share of capacity.
//
// A rank earns its floor's share of all slot time that is charged and pays for its own; with credit left it is owed.
type FairShare[T any] struct {
	StandingAfter time.Duration // a kind's queue that was not empty for so long is served newest first

	ranks        [model.Ranks]rankQueue[T]
	freeSessions list[sessionQueue[T]]
}

// hundredPercent is the whole of a share.
const hundredPercent = 100

const (
	defaultStandingAfter = 100 * time.Millisecond
	creditLimit          = hundredPercent * 200 * time.Millisecond // credit that a waiting rank may hold, in hundredths of slot time
	idleCreditLimit      = hundredPercent * 20 * time.Millisecond  // credit that a rank without waiting work may hold, so that work below its floor never waits for others
	debtLimit            = 200 * time.Millisecond                  // slot time that a rank or kind may owe, so that an outage is soon forgotten
)

// NewFairShare returns an empty policy without floors.
func NewFairShare[T any]() *FairShare[T] {
	f := &FairShare[T]{StandingAfter: defaultStandingAfter}
	for i := range f.ranks {
		f.ranks[i].kinds = make(map[model.KindID]*kindQueue[T])
	}
	return f
}

// SetFloors sets the guaranteed share of capacity of each rank.
func (f *FairShare[T]) SetFloors(floors [model.Ranks]model.Percent) {
	for i := range f.ranks {
		f.ranks[i].floor = floors[i]
	}
}

// Push adds a ticket to its kind's queue.
func (f *FairShare[T]) Push(now time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := r.queueOf(ticket.Class.Kind)
	ticket.kind = k
	r.activate(k, ticket.Class.Floor, now)
	r.waiting++
	k.tickets.pushBack(&ticket.ageLink)
	if ticket.Class.InTransaction {
		r.transactions.pushBack(&ticket.queueLink)
		return
	}
	k.push(ticket, f.newSession, k.hasStandingQueue(now, f.StandingAfter))
}

// Pop removes the ticket whose turn it is, whose charge is to be settled by the caller.
func (f *FairShare[T]) Pop(now time.Time, room Eligible) *Ticket[T] {
	r := f.nextRank(room)
	if r == nil {
		return nil
	}
	ticket := r.transactions.front()
	if ticket == nil {
		k := r.nextKind()
		r.virtualTime = k.virtualTime
		ticket = k.next(k.hasStandingQueue(now, f.StandingAfter))
	}
	ticket.kind.observePop(now)
	ticket.kind.moveToBack(ticket.session)
	f.Remove(now, ticket)
	ticket.charged = 0
	return ticket
}

// Remove takes out a waiting ticket.
func (f *FairShare[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := ticket.kind
	k.tickets.remove(&ticket.ageLink)
	r.waiting--
	if ticket.Class.InTransaction {
		r.transactions.remove(&ticket.queueLink)
	} else {
		f.removeFromSession(k, ticket)
	}
	if k.tickets.length == 0 {
		r.deactivate(k)
	}
}

// Settle corrects the charge of a popped ticket.
func (f *FairShare[T]) Settle(ticket *Ticket[T], took time.Duration) {
	change := took - ticket.charged
	ticket.charged = took
	for i := range f.ranks {
		f.ranks[i].addCredit(change)
	}
	r := &f.ranks[ticket.Class.Rank.Index()]
	r.spendCredit(change, took)
	r.advanceVirtualTime(ticket.kind, change)
}

// Victim returns the oldest ticket of the longest queue in the least urgent rank that holds more than its places.
func (f *FairShare[T]) Victim(ticket *Ticket[T], limit int) *Ticket[T] {
	for i := range f.ranks {
		r := &f.ranks[len(f.ranks)-1-i]
		holds := r.waiting
		if ticket.Class.Rank.Index() == len(f.ranks)-1-i {
			holds++
		}
		if holds > int(r.floor)*limit/hundredPercent {
			return r.victim(ticket)
		}
	}
	return ticket
}

// DeadlineVictim returns the oldest ticket of the kind when it would miss its deadline behind those before it.
func (f *FairShare[T]) DeadlineVictim(now time.Time, ticket *Ticket[T]) *Ticket[T] {
	k := ticket.kind
	oldest := k.oldestOutsideTransaction()
	if oldest == nil || !k.hasStandingQueue(now, f.StandingAfter) {
		return nil
	}
	ahead := time.Duration(k.tickets.length - 1)
	if !oldest.Late(now, ahead*k.meanPopInterval) {
		return nil
	}
	return oldest
}

// Waiting returns the number of waiting tickets of the rank.
func (f *FairShare[T]) Waiting(rank model.Rank) int {
	return f.ranks[rank.Index()].waiting
}

// nextRank returns the most urgent rank that is owed, or else the most urgent rank that can start work.
func (f *FairShare[T]) nextRank(room Eligible) *rankQueue[T] {
	var urgent *rankQueue[T]
	for i := range f.ranks {
		r := &f.ranks[i]
		if !r.canStart(room) {
			continue
		}
		if r.creditHundredths > 0 {
			return r
		}
		if urgent == nil {
			urgent = r
		}
	}
	return urgent
}

// newSession returns a session queue that is not in use.
func (f *FairShare[T]) newSession() *sessionQueue[T] {
	s := f.freeSessions.front()
	if s == nil {
		s = &sessionQueue[T]{}
		s.roundRobinLink.value = s
		return s
	}
	f.freeSessions.remove(&s.roundRobinLink)
	return s
}

// removeFromSession takes the ticket out of its session's queue and frees the queue when it is empty.
func (f *FairShare[T]) removeFromSession(k *kindQueue[T], ticket *Ticket[T]) {
	s := ticket.session
	s.tickets.remove(&ticket.queueLink)
	if s.tickets.length > 0 {
		return
	}
	k.roundRobin.remove(&s.roundRobinLink)
	delete(k.sessions, s.id)
	f.freeSessions.pushBack(&s.roundRobinLink)
}
