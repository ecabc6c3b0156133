package admit

import (
	"time"

	"redwingspread/internal/model"
)

// kindQueue is the queue of one kind of work: tenants share it by start-time fair queueing, and each tenant's sessions take turns.
type kindQueue[T any] struct {
	floor           model.Percent // guaranteed share of the kind within its rank
	virtualTime     time.Duration // slot time received so far, divided by the weight of the kind
	activeIndex     int           // index in the active kinds of the rank
	waiting         int           // number of waiting tickets
	evictable       int           // those outside transactions
	lastPop         time.Time     // time of the last pop since the queue stopped being empty, or zero
	meanPopInterval time.Duration // moving average of the time between two pops while work waits
	sessions        map[sessionKey]*sessionQueue[T]

	tenants      map[model.TenantID]*tenantQueue[T] // with waiting work, and idle ones
	tenantTime   time.Duration                      // virtual time of the tenant that was served last
	turns        indexedHeap[tenantQueue[T]]        // tenants with waiting work outside transactions, the next one to serve first
	activeWeight model.Weight                       // sum of the weights of these tenants
	idle         list[tenantQueue[T]]               // tenants without waiting work, whose charges still count
	orders       uint64                             // number of times that a tenant began to wait
}

const (
	// maxIdleTenants limits the tenants of a kind that are remembered without waiting work, so that one whose work just ran does not
	// come back as if it had received nothing. Few can owe service at once, since each has had a slot.
	maxIdleTenants = 16
	// tenantCredit is the slot time for which a tenant that has used less than its share takes turns before the others. Without it, the
	// second of two statements of a small tenant waits for more than a second: in TestOneTenantSendsMore 0.964 to 0.970 of the others'
	// statements are in time without credit, 0.991 to 0.995 with 20 ms, 0.998 to 0.999 with 60 ms.
	tenantCredit = 60 * time.Millisecond
)

// newKindQueue returns an empty queue.
func newKindQueue[T any]() *kindQueue[T] {
	return &kindQueue[T]{
		sessions: make(map[sessionKey]*sessionQueue[T]),
		tenants:  make(map[model.TenantID]*tenantQueue[T]),
		turns:    indexedHeap[tenantQueue[T]]{before: takesTurnBefore[T], index: func(t *tenantQueue[T]) *int { return &t.turnIndex }},
	}
}

// addTicket adds the ticket to all tickets of its tenant.
func (k *kindQueue[T]) addTicket(now time.Time, t *tenantQueue[T], ticket *Ticket[T]) {
	if t.tickets.length == 0 {
		k.idle.remove(&t.idleLink)
		t.nonEmptySince = now
	}
	ticket.tenant = t
	t.tickets.pushBack(&ticket.ageLink)
	k.waiting++
}

// removeTicket removes the ticket from all tickets of its tenant.
func (k *kindQueue[T]) removeTicket(ticket *Ticket[T]) {
	t := ticket.tenant
	t.tickets.remove(&ticket.ageLink)
	k.waiting--
	if t.tickets.length == 0 {
		k.idle.pushBack(&t.idleLink)
	}
}

// push adds the ticket to the queue of its session; while its tenant has a standing queue, a new session is served first.
func (k *kindQueue[T]) push(ticket *Ticket[T], newSessionQueue func() *sessionQueue[T], standing bool) {
	t := ticket.tenant
	key := sessionKey{tenant: t.id, session: ticket.Class.Session}
	s, found := k.sessions[key]
	if !found {
		s = newSessionQueue()
		s.key = key
		k.sessions[key] = s
		if standing {
			t.roundRobin.pushFront(&s.roundRobinLink)
		} else {
			t.roundRobin.pushBack(&s.roundRobinLink)
		}
	}
	ticket.session = s
	s.tickets.pushBack(&ticket.queueLink)
	t.waiting++
	k.evictable++
	if t.waiting > 1 {
		return
	}
	k.orders++
	t.order = k.orders
	t.virtualTime = max(t.virtualTime, k.earliestTime(t)) // unused service can't be saved up beyond the credit
	k.turns.push(t)
	k.activeWeight += t.weight
}

// removed updates the turns after a ticket outside transactions was removed from its session.
func (k *kindQueue[T]) removed(t *tenantQueue[T]) {
	t.waiting--
	k.evictable--
	if t.waiting > 0 {
		return
	}
	k.turns.remove(t)
	k.activeWeight -= t.weight
	if len(k.turns.items) == 0 {
		k.activeWeight = 0 // without the rounding of earlier sums
	}
}

// charge charges a tenant for slot time, unless it was forgotten meanwhile.
func (k *kindQueue[T]) charge(id model.TenantID, change time.Duration) {
	t, found := k.tenants[id]
	if !found {
		return
	}
	t.charge(change, k.tenantTime)
	if t.waiting > 0 {
		k.turns.fix(t)
	}
}

// earliestTime returns the virtual time at which a tenant begins that has used up none of its credit.
func (k *kindQueue[T]) earliestTime(t *tenantQueue[T]) time.Duration {
	return k.tenantTime - time.Duration(float64(tenantCredit)/float64(t.weight))
}

// setWeights sets the tenants' weights.
func (k *kindQueue[T]) setWeights(weights *model.TenantWeights) {
	k.activeWeight = 0
	for _, t := range k.tenants {
		t.weight = weights.Of(t.id)
		if t.waiting > 0 {
			k.activeWeight += t.weight
		}
	}
}

// forgettable removes and returns an idle tenant that owes no service or that is one too many, or returns nil.
func (k *kindQueue[T]) forgettable() *tenantQueue[T] {
	t := k.idle.front()
	if t == nil || len(k.tenants) == 1 {
		return nil
	}
	k.idle.remove(&t.idleLink)
	if t.virtualTime > k.earliestTime(t) && k.idle.length < maxIdleTenants {
		k.idle.pushBack(&t.idleLink)
		return nil
	}
	delete(k.tenants, t.id)
	return t
}

// expectedWait returns the time until a ticket is served that has the given number of its tenant's ahead of it.
func (k *kindQueue[T]) expectedWait(t *tenantQueue[T], ahead int) time.Duration {
	pops := min(float64(ahead)*float64(max(k.activeWeight, t.weight))/float64(t.weight), float64(k.waiting-1))
	return time.Duration(pops * float64(k.meanPopInterval))
}

// observePop updates the mean interval between pops.
func (k *kindQueue[T]) observePop(now time.Time) {
	if !k.lastPop.IsZero() {
		k.meanPopInterval += (now.Sub(k.lastPop) - k.meanPopInterval) / smoothingDivisor
	}
	k.lastPop = now
}
