package admit

import (
	"time"

	"redwingspread/internal/model"
)

// rankQueue is the queue of one rank: kinds share it by start-time fair queueing, with their floors as weights.
type rankQueue[T any] struct {
	floor            model.Percent
	creditHundredths time.Duration // hundredths of slot time that the rank is owed
	waiting          int
	virtualTime      time.Duration // virtualTime time of the kind that was served last
	kinds            map[model.KindID]*kindQueue[T]
	activeKinds      []*kindQueue[T]
	activeFloors     model.Percent // sum of the floors of the active kinds
	transactions     list[Ticket[T]]
}

// canStart reports whether the rank has work that can start.
func (r *rankQueue[T]) canStart(room Eligible) bool {
	if room == EligibleTransactions {
		return r.transactions.length > 0
	}
	return r.waiting > 0
}

// addCredit adds the rank's share of the slot time that any rank was charged.
func (r *rankQueue[T]) addCredit(charged time.Duration) {
	most := idleCreditLimit
	if r.waiting > 0 {
		most = creditLimit
	}
	r.creditHundredths = min(r.creditHundredths+time.Duration(r.floor)*charged, most)
}

// spendCredit takes a change of the rank's own slot time from its credit; service beyond the floor leaves no debt of more than one ticket.
func (r *rankQueue[T]) spendCredit(change, took time.Duration) {
	r.creditHundredths = max(r.creditHundredths-hundredPercent*change, -hundredPercent*min(took, debtLimit))
}

// queueOf returns the queue of the kind; kinds beyond the limit share one.
func (r *rankQueue[T]) queueOf(id model.KindID) *kindQueue[T] {
	k, found := r.kinds[id]
	if found {
		return k
	}
	if len(r.kinds) >= maxKinds {
		id = ""
		if k, found = r.kinds[id]; found {
			return k
		}
	}
	k = &kindQueue[T]{sessions: make(map[model.SessionID]*sessionQueue[T])}
	r.kinds[id] = k
	return k
}

// activate puts the kind among those that wait, not before the virtual time of the rank.
func (r *rankQueue[T]) activate(k *kindQueue[T], floor model.Percent, now time.Time) {
	if k.tickets.length > 0 {
		r.activeFloors += floor - k.floor
		k.floor = floor
		return
	}
	k.floor = floor
	k.nonEmptySince = now
	k.lastPop = time.Time{}
	k.virtualTime = max(k.virtualTime, r.virtualTime)
	k.activeIndex = len(r.activeKinds)
	r.activeKinds = append(r.activeKinds, k)
	r.activeFloors += floor
}

// deactivate takes the kind out of those that wait.
func (r *rankQueue[T]) deactivate(k *kindQueue[T]) {
	last := r.activeKinds[len(r.activeKinds)-1]
	r.activeKinds[k.activeIndex] = last
	last.activeIndex = k.activeIndex
	r.activeKinds[len(r.activeKinds)-1] = nil
	r.activeKinds = r.activeKinds[:len(r.activeKinds)-1]
	r.activeFloors -= k.floor
}

// nextKind returns the active kind with the least virtual time.
func (r *rankQueue[T]) nextKind() *kindQueue[T] {
	var least *kindQueue[T]
	for _, k := range r.activeKinds {
		if k.roundRobin.length == 0 {
			continue
		}
		if least == nil || k.virtualTime < least.virtualTime {
			least = k
		}
	}
	return least
}

// advanceVirtualTime moves the kind's virtual time on by the slot time over its weight: its floor and an equal part of the rest.
func (r *rankQueue[T]) advanceVirtualTime(k *kindQueue[T], charged time.Duration) {
	rest := max(hundredPercent-r.activeFloors, 0)
	weight := max(k.floor+rest/model.Percent(max(len(r.activeKinds), 1)), 1)
	most := r.virtualTime + debtLimit*hundredPercent/time.Duration(weight)
	k.virtualTime = min(k.virtualTime+charged*hundredPercent/time.Duration(weight), max(k.virtualTime, most))
}

// victim returns the oldest ticket of the kind that holds the most places for its weight, or the new ticket itself.
func (r *rankQueue[T]) victim(ticket *Ticket[T]) *Ticket[T] {
	var longest *kindQueue[T]
	most := 0
	for _, k := range r.activeKinds {
		places := k.roundRobin.length * hundredPercent / int(max(k.floor, 1))
		if places > most {
			longest, most = k, places
		}
	}
	if longest == nil || longest.oldestOutsideTransaction() == nil {
		return ticket
	}
	return longest.oldestOutsideTransaction()
}
