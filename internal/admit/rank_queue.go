package admit

import (
	"time"

	"redwingspread/internal/model"
)

// rankQueue is the queue of one rank: kinds share it by start-time fair queueing, with their floors as weights.
type rankQueue[T any] struct {
	floor            model.Percent // guaranteed share of capacity
	creditHundredths time.Duration // slot time that the rank is owed, times a hundred; negative for debt
	waiting          int           // number of waiting tickets
	virtualTime      time.Duration // virtual time of the kind that was served last
	kinds            map[model.KindID]*kindQueue[T]
	activeKinds      []*kindQueue[T] // kinds with waiting work
	activeFloors     model.Percent   // sum of the floors of the active kinds
	transactions     list[Ticket[T]] // waiting work of begun transactions of all kinds, which is served first
}

// canStart reports whether the rank has eligible work.
func (r *rankQueue[T]) canStart(eligible Eligible) bool {
	if eligible == EligibleTransactions {
		return r.transactions.length > 0
	}
	return r.waiting > 0
}

// addCredit credits the rank with its share of slot time that was charged to any rank.
func (r *rankQueue[T]) addCredit(charged time.Duration) {
	limit := idleCreditLimit
	if r.waiting > 0 {
		limit = creditLimit
	}
	r.creditHundredths = min(r.creditHundredths+time.Duration(r.floor)*charged, limit)
}

// spendCredit deducts a change of a ticket's charge from the credit of its rank.
//
// Debt is limited to the slot time of this one ticket, so that a rank does not pay later for capacity that others left.
func (r *rankQueue[T]) spendCredit(change, slotTime time.Duration) {
	r.creditHundredths = max(r.creditHundredths-hundredPercent*change, -hundredPercent*min(slotTime, debtLimit))
}

// queueOf returns the queue of the kind; once maxKinds have a queue, all further kinds share one.
func (r *rankQueue[T]) queueOf(id model.KindID) *kindQueue[T] {
	id = r.kindID(id)
	k, found := r.kinds[id]
	if found {
		return k
	}
	k = newKindQueue[T]()
	r.kinds[id] = k
	return k
}

// kindID returns the kind in whose queue work of the given kind waits.
func (r *rankQueue[T]) kindID(id model.KindID) model.KindID {
	if _, found := r.kinds[id]; !found && len(r.kinds) >= maxKinds {
		return ""
	}
	return id
}

// activate adds the kind to the active ones if its queue is empty, and updates its floor.
//
// Its virtual time starts no lower than the rank's, so that it can't save up unused service while idle.
func (r *rankQueue[T]) activate(k *kindQueue[T], floor model.Percent) {
	if k.waiting > 0 {
		r.activeFloors += floor - k.floor
		k.floor = floor
		return
	}
	k.floor = floor
	k.lastPop = time.Time{}
	k.virtualTime = max(k.virtualTime, r.virtualTime)
	k.activeIndex = len(r.activeKinds)
	r.activeKinds = append(r.activeKinds, k)
	r.activeFloors += floor
}

// deactivate removes the kind from the active ones.
func (r *rankQueue[T]) deactivate(k *kindQueue[T]) {
	last := r.activeKinds[len(r.activeKinds)-1]
	r.activeKinds[k.activeIndex] = last
	last.activeIndex = k.activeIndex
	r.activeKinds[len(r.activeKinds)-1] = nil
	r.activeKinds = r.activeKinds[:len(r.activeKinds)-1]
	r.activeFloors -= k.floor
}

// nextKind returns the kind with the lowest virtual time that has waiting work outside transactions, or nil.
func (r *rankQueue[T]) nextKind() *kindQueue[T] {
	var next *kindQueue[T]
	for _, k := range r.activeKinds {
		if len(k.turns.items) == 0 {
			continue
		}
		if next == nil || k.virtualTime < next.virtualTime {
			next = k
		}
	}
	return next
}

// advanceVirtualTime advances the kind's virtual time by the charged slot time divided by its weight.
//
// The weight is the kind's floor plus an equal part of what the floors of the active kinds leave.
func (r *rankQueue[T]) advanceVirtualTime(k *kindQueue[T], charged time.Duration) {
	rest := max(hundredPercent-r.activeFloors, 0)
	weight := max(k.floor+rest/model.Percent(max(len(r.activeKinds), 1)), 1)
	limit := r.virtualTime + debtLimit*hundredPercent/time.Duration(weight)
	k.virtualTime = min(k.virtualTime+charged*hundredPercent/time.Duration(weight), max(k.virtualTime, limit))
}

// victim returns the oldest ticket outside a transaction of the kind that has the most waiting sessions in proportion to its
// floor, or the new ticket.
func (r *rankQueue[T]) victim(newTicket *Ticket[T]) *Ticket[T] {
	var longest *kindQueue[T]
	highest := 0
	for _, k := range r.activeKinds {
		weighted := len(k.sessions) * hundredPercent / int(max(k.floor, 1))
		if weighted > highest {
			longest, highest = k, weighted
		}
	}
	if longest == nil {
		return newTicket
	}
	oldest := longest.turns.top().oldestOutsideTransaction()
	for _, t := range longest.turns.items { // more than one while work waits that had a tenant before a change of the configuration
		if other := t.oldestOutsideTransaction(); other.Arrived.Before(oldest.Arrived) {
			oldest = other
		}
	}
	return oldest
}

// tenantVictim returns the oldest ticket outside a transaction of the tenant that most exceeds its share of the waiting work of one
// kind, or the new ticket, which counts as waiting. Shares are in proportion to the weights.
//
// The excess is a number of tickets. As a ratio it would be greatest for small tenants, whose share is often less than one ticket.
func (r *rankQueue[T]) tenantVictim(newTicket *Ticket[T], newWeight model.Weight) *Ticket[T] {
	own := r.waitingTenant(newTicket)
	waiting, weights := 1, model.Weight(0)
	for _, k := range r.activeKinds {
		waiting += k.evictable
		weights += k.activeWeight
	}
	if own == nil {
		weights += newWeight
	}
	share := float64(waiting) / float64(weights) // of a tenant of weight one
	ownExcess := 1 - share*float64(newWeight)
	if own != nil {
		ownExcess += float64(own.waiting)
	}
	most, highest := own, ownExcess
	for _, k := range r.activeKinds {
		for _, t := range k.turns.items {
			if excess := float64(t.waiting) - share*float64(t.weight); excess > highest {
				most, highest = t, excess
			}
		}
	}
	if most == nil {
		return newTicket
	}
	return most.oldestOutsideTransaction()
}

// waitingTenant returns the queue of the ticket's tenant, if it has waiting work of the kind outside transactions, or nil.
func (r *rankQueue[T]) waitingTenant(ticket *Ticket[T]) *tenantQueue[T] {
	k := r.kinds[r.kindID(ticket.Class.Kind)]
	if k == nil {
		return nil
	}
	t := k.tenants[ticket.Class.Tenant]
	if t == nil || t.waiting == 0 {
		return nil
	}
	return t
}
