package admit

import (
	"time"

	"redwingspread/internal/model"
)

// FairShare is a policy that serves ranks in order of urgency, but gives precedence to ranks below their floor, which is
// their guaranteed share of capacity.
//
// Each rank is credited with its floor's share of all slot time that is charged, and pays for its own. A rank with credit
// left is below its floor.
type FairShare[T any] struct {
	// StandingAfter is a time limit: a kind's queue that has not been empty for longer is a standing queue, which is served
	// newest first.
	StandingAfter time.Duration

	ranks             [model.RankCount]rankQueue[T]
	weights           *model.TenantWeights  // nil where no tenants are configured
	freeSessionQueues list[sessionQueue[T]] // unused session queues
	freeTenantQueues  list[tenantQueue[T]]  // unused tenant queues
}

// hundredPercent is a share of all capacity, in percent.
const hundredPercent = 100

const (
	defaultStandingAfter = 100 * time.Millisecond
	creditLimit          = hundredPercent * 200 * time.Millisecond // maximum credit of a rank with waiting work, in hundredths of slot time
	idleCreditLimit      = hundredPercent * 20 * time.Millisecond  // maximum credit of a rank without waiting work, in hundredths of slot time; above zero, so that a rank that uses less than its floor need not wait for others
	debtLimit            = 200 * time.Millisecond                  // maximum slot time that a rank or kind may owe, so that one that ran long statements in an outage soon gets capacity again
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
func (f *FairShare[T]) SetFloors(floors [model.RankCount]model.Percent) {
	for i := range f.ranks {
		f.ranks[i].floor = floors[i]
	}
}

// SetWeights sets the weights by which tenants share each kind; nil means that no tenants are configured.
func (f *FairShare[T]) SetWeights(weights *model.TenantWeights) {
	if weights == f.weights {
		return
	}
	f.weights = weights
	for i := range f.ranks {
		for _, k := range f.ranks[i].kinds {
			k.setWeights(weights)
		}
	}
}

// Push adds a ticket to the queue of its kind.
func (f *FairShare[T]) Push(now time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := r.queueOf(ticket.Class.Kind)
	ticket.kind = k
	t := f.tenantQueue(k, ticket.Class.Tenant)
	r.activate(k, ticket.Class.Floor)
	r.waiting++
	k.addTicket(now, t, ticket)
	if t := k.forgettable(); t != nil {
		f.freeTenantQueues.pushBack(&t.idleLink)
	}
	if ticket.Class.InTransaction {
		r.transactions.pushBack(&ticket.queueLink)
		return
	}
	k.push(ticket, f.newSessionQueue, t.hasStandingQueue(now, f.StandingAfter))
}

// Pop removes and returns the ticket to serve next, or returns nil; the caller charges it with Settle.
func (f *FairShare[T]) Pop(now time.Time, eligible Eligible) *Ticket[T] {
	r := f.nextRank(eligible)
	if r == nil {
		return nil
	}
	ticket := r.transactions.front()
	if ticket == nil {
		k := r.nextKind()
		r.virtualTime = k.virtualTime
		t := k.turns.top()
		k.tenantTime = max(k.tenantTime, t.virtualTime)
		ticket = t.next(t.hasStandingQueue(now, f.StandingAfter))
	}
	ticket.kind.observePop(now)
	ticket.tenant.moveToBack(ticket.session)
	f.Remove(now, ticket)
	ticket.charged = 0
	return ticket
}

// Remove removes a waiting ticket.
func (f *FairShare[T]) Remove(_ time.Time, ticket *Ticket[T]) {
	r := &f.ranks[ticket.Class.Rank.Index()]
	k := ticket.kind
	k.removeTicket(ticket)
	r.waiting--
	if ticket.Class.InTransaction {
		r.transactions.remove(&ticket.queueLink)
	} else {
		f.removeFromSessionQueue(k, ticket)
	}
	if k.waiting == 0 {
		r.deactivate(k)
	}
}

// Settle replaces the charge of a popped ticket by the given slot time.
func (f *FairShare[T]) Settle(ticket *Ticket[T], slotTime time.Duration) {
	change := slotTime - ticket.charged
	ticket.charged = slotTime
	for i := range f.ranks {
		f.ranks[i].addCredit(change)
	}
	r := &f.ranks[ticket.Class.Rank.Index()]
	r.spendCredit(change, slotTime)
	r.advanceVirtualTime(ticket.kind, change)
	ticket.kind.charge(ticket.Class.Tenant, change)
}

// Victim returns a ticket of the least urgent rank that, counting the new ticket, exceeds its floor's share of the queue. It
// returns the new ticket if no rank does, or if no waiting ticket outside a transaction is found in that rank. Where tenants are
// configured, it returns a ticket of the tenant that most exceeds its share.
func (f *FairShare[T]) Victim(newTicket *Ticket[T], limit int) *Ticket[T] {
	for i := range f.ranks {
		r := &f.ranks[len(f.ranks)-1-i]
		waiting := r.waiting
		if newTicket.Class.Rank.Index() == len(f.ranks)-1-i {
			waiting++
		}
		if waiting > int(r.floor)*limit/hundredPercent {
			if f.weights != nil {
				return r.tenantVictim(newTicket, f.weights.Of(newTicket.Class.Tenant))
			}
			return r.victim(newTicket)
		}
	}
	return newTicket
}

// DeadlineVictim returns the oldest ticket of the same kind and tenant, if that ticket would miss its deadline because the tenant has
// a standing queue, which is served newest first; else nil.
func (f *FairShare[T]) DeadlineVictim(now time.Time, ticket *Ticket[T]) *Ticket[T] {
	k, t := ticket.kind, ticket.tenant
	oldest := t.oldestOutsideTransaction()
	if oldest == nil || !t.hasStandingQueue(now, f.StandingAfter) {
		return nil
	}
	if !oldest.Late(now, k.expectedWait(t, t.tickets.length-1)) {
		return nil
	}
	return oldest
}

// Waiting returns the number of waiting tickets of the rank.
func (f *FairShare[T]) Waiting(rank model.Rank) int {
	return f.ranks[rank.Index()].waiting
}

// nextRank returns the most urgent rank with credit, else the most urgent rank, of those with eligible work, or nil.
func (f *FairShare[T]) nextRank(eligible Eligible) *rankQueue[T] {
	var mostUrgent *rankQueue[T]
	for i := range f.ranks {
		r := &f.ranks[i]
		if !r.canStart(eligible) {
			continue
		}
		if r.creditHundredths > 0 {
			return r
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
	}
	return mostUrgent
}

// tenantQueue returns the tenant's queue of the kind.
func (f *FairShare[T]) tenantQueue(k *kindQueue[T], id model.TenantID) *tenantQueue[T] {
	if t, found := k.tenants[id]; found {
		return t
	}
	t := f.freeTenantQueues.front()
	if t == nil {
		t = &tenantQueue[T]{}
		t.idleLink.value = t
	} else {
		f.freeTenantQueues.remove(&t.idleLink)
	}
	t.id, t.weight = id, f.weights.Of(id)
	t.virtualTime = k.earliestTime(t)
	k.tenants[id] = t
	k.idle.pushBack(&t.idleLink)
	return t
}

// newSessionQueue returns an unused session queue.
func (f *FairShare[T]) newSessionQueue() *sessionQueue[T] {
	s := f.freeSessionQueues.front()
	if s == nil {
		s = &sessionQueue[T]{}
		s.roundRobinLink.value = s
		return s
	}
	f.freeSessionQueues.remove(&s.roundRobinLink)
	return s
}

// removeFromSessionQueue removes the ticket from the queue of its session and recycles the queue when it becomes empty.
func (f *FairShare[T]) removeFromSessionQueue(k *kindQueue[T], ticket *Ticket[T]) {
	s := ticket.session
	s.tickets.remove(&ticket.queueLink)
	k.removed(ticket.tenant)
	if s.tickets.length > 0 {
		return
	}
	ticket.tenant.roundRobin.remove(&s.roundRobinLink)
	delete(k.sessions, s.key)
	f.freeSessionQueues.pushBack(&s.roundRobinLink)
}
