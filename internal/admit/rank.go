package admit

import (
	"time"

	"redwingspread/internal/model"
)

// rank is the queue of one rank: kinds share it by start-time fair queueing, with their floors as weights.
type rank[T any] struct {
	floor        model.Percent
	credit       time.Duration // hundredths of slot time that the rank is owed
	waiting      int
	virtual      time.Duration // virtual time of the kind that was served last
	kinds        map[model.KindID]*kind[T]
	active       []*kind[T]
	floors       model.Percent // sum of the floors of the active kinds
	transactions list[Ticket[T]]
}

// ready reports whether the rank has work that can start.
func (r *rank[T]) ready(room Room) bool {
	if room == RoomTransaction {
		return r.transactions.length > 0
	}
	return r.waiting > 0
}

// earn adds the rank's share of the slot time that any rank was charged.
func (r *rank[T]) earn(charged time.Duration) {
	most := idleCredit
	if r.waiting > 0 {
		most = creditLimit
	}
	r.credit = min(r.credit+time.Duration(r.floor)*charged, most)
}

// pay takes a change of the rank's own slot time from its credit; service beyond the floor leaves no debt of more than one ticket.
func (r *rank[T]) pay(change, took time.Duration) {
	r.credit = max(r.credit-percentAll*change, -percentAll*min(took, debtLimit))
}

// kind returns the queue of the kind; kinds beyond the limit share one.
func (r *rank[T]) kind(id model.KindID) *kind[T] {
	k, found := r.kinds[id]
	if found {
		return k
	}
	if len(r.kinds) >= kindLimit {
		id = ""
		if k, found = r.kinds[id]; found {
			return k
		}
	}
	k = &kind[T]{sessions: make(map[model.SessionID]*session[T])}
	r.kinds[id] = k
	return k
}

// activate puts the kind among those that wait, not before the virtual time of the rank.
func (r *rank[T]) activate(k *kind[T], floor model.Percent, now time.Time) {
	if k.tickets.length > 0 {
		r.floors += floor - k.floor
		k.floor = floor
		return
	}
	k.floor = floor
	k.idle = now
	k.lastPop = time.Time{}
	k.virtual = max(k.virtual, r.virtual)
	k.place = len(r.active)
	r.active = append(r.active, k)
	r.floors += floor
}

// deactivate takes the kind out of those that wait.
func (r *rank[T]) deactivate(k *kind[T]) {
	last := r.active[len(r.active)-1]
	r.active[k.place] = last
	last.place = k.place
	r.active[len(r.active)-1] = nil
	r.active = r.active[:len(r.active)-1]
	r.floors -= k.floor
}

// chooseKind returns the active kind with the least virtual time.
func (r *rank[T]) chooseKind() *kind[T] {
	var least *kind[T]
	for _, k := range r.active {
		if k.ring.length == 0 {
			continue
		}
		if least == nil || k.virtual < least.virtual {
			least = k
		}
	}
	return least
}

// charge moves the kind's virtual time on by the slot time over its weight: its floor and an equal part of the rest.
func (r *rank[T]) charge(k *kind[T], charged time.Duration) {
	rest := max(percentAll-r.floors, 0)
	weight := max(k.floor+rest/model.Percent(max(len(r.active), 1)), 1)
	most := r.virtual + debtLimit*percentAll/time.Duration(weight)
	k.virtual = min(k.virtual+charged*percentAll/time.Duration(weight), max(k.virtual, most))
}

// victim returns the oldest ticket of the kind that holds the most places for its weight, or the new ticket itself.
func (r *rank[T]) victim(ticket *Ticket[T]) *Ticket[T] {
	var longest *kind[T]
	most := 0
	for _, k := range r.active {
		places := k.ring.length * percentAll / int(max(k.floor, 1))
		if places > most {
			longest, most = k, places
		}
	}
	if longest == nil || longest.oldest() == nil {
		return ticket
	}
	return longest.oldest()
}
