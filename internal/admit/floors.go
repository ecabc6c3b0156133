package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Floors serves the most urgent rank first, but first of all a rank that is owed its guaranteed share of capacity.
//
// A rank earns its floor's share of all slot time that is charged and pays for its own; with credit left it is owed.
type Floors[T any] struct {
	Standing time.Duration // a kind's queue that was not empty for so long is served newest first

	ranks [model.RankCount]rank[T]
	free  list[session[T]]
}

// percentAll is the whole of a share.
const percentAll = 100

const (
	standingAfter = 100 * time.Millisecond
	creditLimit   = percentAll * 200 * time.Millisecond // credit that a waiting rank may hold, in hundredths of slot time
	idleCredit    = percentAll * 20 * time.Millisecond  // credit that a rank without waiting work may hold, so that work below its floor never waits for others
	debtLimit     = 200 * time.Millisecond              // slot time that a rank or kind may owe, so that an outage is soon forgotten
)

// NewFloors returns an empty policy without floors.
func NewFloors[T any]() *Floors[T] {
	f := &Floors[T]{Standing: standingAfter}
	for i := range f.ranks {
		f.ranks[i].kinds = make(map[model.KindID]*kind[T])
	}
	return f
}

// SetFloors sets the guaranteed share of capacity of each rank.
func (f *Floors[T]) SetFloors(floors [model.RankCount]model.Percent) {
	for i := range f.ranks {
		f.ranks[i].floor = floors[i]
	}
}

// Push adds a ticket to its kind's queue.
func (f *Floors[T]) Push(now time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := r.kind(ticket.Class.Kind)
	ticket.kind = k
	r.activate(k, ticket.Class.Floor, now)
	r.waiting++
	k.tickets.pushBack(&ticket.age)
	if ticket.Class.InTransaction {
		r.transactions.pushBack(&ticket.turn)
		return
	}
	k.push(ticket, f.take, k.standing(now, f.Standing))
}

// Pop removes the ticket whose turn it is, whose charge is to be settled by the caller.
func (f *Floors[T]) Pop(now time.Time, room Room) *Ticket[T] {
	r := f.choose(room)
	if r == nil {
		return nil
	}
	ticket := r.transactions.front()
	if ticket == nil {
		k := r.chooseKind()
		r.virtual = k.virtual
		ticket = k.choose(k.standing(now, f.Standing))
	}
	ticket.kind.popped(now)
	ticket.kind.rotate(ticket.session)
	f.Remove(now, ticket)
	ticket.cost = 0
	return ticket
}

// Remove takes out a waiting ticket.
func (f *Floors[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := ticket.kind
	k.tickets.remove(&ticket.age)
	r.waiting--
	if ticket.Class.InTransaction {
		r.transactions.remove(&ticket.turn)
	} else {
		f.leave(k, ticket)
	}
	if k.tickets.length == 0 {
		r.deactivate(k)
	}
}

// Settle corrects the charge of a popped ticket.
func (f *Floors[T]) Settle(ticket *Ticket[T], took time.Duration) {
	change := took - ticket.cost
	ticket.cost = took
	for i := range f.ranks {
		f.ranks[i].earn(change)
	}
	r := &f.ranks[ticket.Class.Rank.Index()]
	r.pay(change, took)
	r.charge(ticket.kind, change)
}

// Victim returns the oldest ticket of the longest queue in the least urgent rank that holds more than its places.
func (f *Floors[T]) Victim(ticket *Ticket[T], limit int) *Ticket[T] {
	for i := range f.ranks {
		r := &f.ranks[len(f.ranks)-1-i]
		holds := r.waiting
		if ticket.Class.Rank.Index() == len(f.ranks)-1-i {
			holds++
		}
		if holds > int(r.floor)*limit/percentAll {
			return r.victim(ticket)
		}
	}
	return ticket
}

// Doomed returns the oldest ticket of the kind when it would miss its deadline behind those before it.
func (f *Floors[T]) Doomed(now time.Time, ticket *Ticket[T]) *Ticket[T] {
	k := ticket.kind
	oldest := k.oldest()
	if oldest == nil || !k.standing(now, f.Standing) {
		return nil
	}
	ahead := time.Duration(k.tickets.length - 1)
	if !oldest.Late(now, ahead*k.gap) {
		return nil
	}
	return oldest
}

// Waiting returns the number of waiting tickets of the rank.
func (f *Floors[T]) Waiting(rank model.Rank) int {
	return f.ranks[rank.Index()].waiting
}

// choose returns the most urgent rank that is owed, or else the most urgent rank that can start work.
func (f *Floors[T]) choose(room Room) *rank[T] {
	var urgent *rank[T]
	for i := range f.ranks {
		r := &f.ranks[i]
		if !r.ready(room) {
			continue
		}
		if r.credit > 0 {
			return r
		}
		if urgent == nil {
			urgent = r
		}
	}
	return urgent
}

// take returns a session queue that is not in use.
func (f *Floors[T]) take() *session[T] {
	s := f.free.front()
	if s == nil {
		s = &session[T]{}
		s.ring.element = s
		return s
	}
	f.free.remove(&s.ring)
	return s
}

// leave takes the ticket out of its session's queue and frees the queue when it is empty.
func (f *Floors[T]) leave(k *kind[T], ticket *Ticket[T]) {
	s := ticket.session
	s.tickets.remove(&ticket.turn)
	if s.tickets.length > 0 {
		return
	}
	k.ring.remove(&s.ring)
	delete(k.sessions, s.id)
	f.free.pushBack(&s.ring)
}
