package allowance

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

const (
	maxWaiting = 4096 // operations of a tenant that wait at a host
	// lapseTime is how long a host grants tokens without hearing more than half of the hosts. It is less than the minute of silence
	// after which others delete the host's row and take its parts, by more than the 3.5 s for which a silent host may count as live.
	lapseTime = 45 * time.Second
)

// Book is one host's view of the allowances of all tenants.
type Book[T any] struct {
	// Tolerance is the tolerance of the rule.
	Tolerance Tolerance

	self        Host
	incarnation model.Incarnation
	sequence    model.Sequence // of the last question
	tenants     map[model.TenantID]*tenant[T]
	configured  bool // limits have been set
	live        []Host
	all         []Host // with rows
	madeAt      model.Instant
	placed      bool          // the parts that this host kept from its start are known
	majority    bool          // this host hears more than half of the hosts
	majorityAt  model.Instant // when it did last
	lapse       time.Duration // lapseTime, except in tests
	active      []*tenant[T]  // tenants whose operations wait
	inFlight    []*question   // in the order of their sequences
	lastDue     model.Instant
}

// New returns the book of a host that starts now; set its exported fields before use.
func New[T any](self Host, incarnation model.Incarnation, now model.Instant) *Book[T] {
	return &Book[T]{
		self:        self,
		incarnation: incarnation,
		sequence:    model.Sequence(incarnation), // so that an answer to an earlier incarnation matches no question
		tenants:     make(map[model.TenantID]*tenant[T]),
		madeAt:      now,
		majorityAt:  now,
		lapse:       lapseTime,
	}
}

// SetLimits sets the limits of all tenants; a tenant that isn't listed is not limited.
func (b *Book[T]) SetLimits(now model.Instant, limits map[model.TenantID]Limit) {
	b.configured = true
	from := b.acquiredAt(now)
	for id, t := range b.tenants {
		if _, ok := limits[id]; !ok {
			b.drop(t)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		t := b.tenants[id]
		if t == nil {
			t = &tenant[T]{id: id}
			b.tenants[id] = t
		}
		if limit := limits[id].bounded(); !t.limited || limit != t.limit {
			t.setLimit(now, b.Tolerance, limit)
			b.place(t, from)
		}
	}
	b.recordPlaced()
}

// drop removes a tenant; operations that wait are decided by the next Due.
func (b *Book[T]) drop(t *tenant[T]) {
	t.limited = false
	t.keep(0, 0)
	delete(b.tenants, t.id)
}

// SetHosts sets the hosts that this one hears and all hosts that have rows. It has to be called at least once a second, since a host
// that isn't told of more than half of the hosts for lapseTime grants no more tokens.
func (b *Book[T]) SetHosts(now model.Instant, live, all []Host) {
	lapsed, majority := b.lapsed(now), 2*len(live) > len(all)
	live, all = sortedByID(live), sortedByID(all)
	changed := majority != b.majority || !slices.Equal(live, b.live) || !slices.Equal(all, b.all)
	b.live, b.all, b.majority = live, all, majority
	if majority {
		b.majorityAt = now
	}
	resumes := lapsed && majority
	if !changed && !resumes {
		return
	}
	from := b.acquiredAt(now)
	for _, t := range b.tenants {
		if resumes && !t.covered { // its row may have been deleted and made again, so that others granted its parts
			t.keep(0, 0)
		}
		b.place(t, from)
	}
	b.recordPlaced()
}

// acquiredAt returns the time from which parts refill that this host acquires now. Nobody else granted those that it has from its start.
func (b *Book[T]) acquiredAt(now model.Instant) model.Instant {
	if b.placed {
		return now
	}
	return b.madeAt
}

// recordPlaced records whether the parts that this host has from its start are known.
func (b *Book[T]) recordPlaced() { b.placed = b.placed || (len(b.tenants) > 0 && len(b.all) > 0) }

// lapsed reports whether others may have deleted this host's row since it heard more than half of the hosts.
func (b *Book[T]) lapsed(now model.Instant) bool { return now.Sub(b.majorityAt) > b.lapse }

// grants reports whether this host may grant tokens of its parts of a tenant.
func (b *Book[T]) grants(now model.Instant, t *tenant[T]) bool { return t.covered || !b.lapsed(now) }

// hears reports whether this host hears another one.
func (b *Book[T]) hears(id model.HostID) bool {
	_, found := slices.BinarySearchFunc(b.live, id, func(h Host, id model.HostID) int { return compareIDs(h.ID, id) })
	return found
}

// place determines the owners of a tenant's parts; those that this host acquires refill from a time on.
func (b *Book[T]) place(t *tenant[T], from model.Instant) {
	order := hashOrder(t.id, b.candidates(t))
	t.keep(t.shareIn(order, b.self.ID), from)
	reached := len(t.own)
	var owners []*owner
	for _, host := range b.preferred(t.id, order[:min(len(order), t.parts)]) {
		if !b.hears(host.ID) {
			continue
		}
		reached += t.shareIn(order, host.ID)
		k := t.ownerOf(host.ID)
		if k == nil {
			k = &owner{host: host.ID}
		}
		owners = append(owners, k)
	}
	t.owners, t.reached = owners, t.size.rate*float64(reached)
}

// candidates returns the hosts among which a tenant's parts are distributed. They are all hosts with rows, heard or not, so that no two
// hosts grant the same part. Where the tolerance covers all parts granted twice, the hosts that hear a majority pass over silent ones.
func (b *Book[T]) candidates(t *tenant[T]) []Host {
	if t.covered && b.majority {
		return b.live
	}
	return b.all
}

// Spend spends a token for an operation. Without one, the operation waits until its deadline, or is refused if the tenant gets no
// token until then; the duration is the time until it does. The waiter is used only if the verdict is Waiting.
func (b *Book[T]) Spend(now model.Instant, id model.TenantID, rank model.Rank, deadline model.Instant, w *Waiter[T]) (Verdict, time.Duration) {
	t := b.tenants[id]
	if t == nil {
		return Spent, 0
	}
	if !rank.Valid() {
		rank = model.RankThree
	}
	t.demand.add(now)
	waiting := t.waiting(rank)
	if waiting == 0 && b.take(now, t, rank) {
		return Spent, 0
	}
	earliest, known := b.earliest(now, t, rank)
	if (known && earliest > deadline) || t.waiting(model.RankThree) >= maxWaiting {
		return Refused, retryAfter(now, earliest)
	}
	w.tenant, w.rank, w.deadline = t, rank, deadline
	t.queues[rank.Index()].push(w)
	if !t.active {
		t.active, t.earliest = true, deadline
		b.active = append(b.active, t)
	}
	t.earliest = min(t.earliest, deadline)
	return Waiting, 0
}

// retryAfter returns the time until a token is expected, or zero if that is unknown.
func retryAfter(now, earliest model.Instant) time.Duration {
	return min(max(earliest.Sub(now), 0), maxNext)
}

// take spends a token that this host holds or keeps.
func (b *Book[T]) take(now model.Instant, t *tenant[T], rank model.Rank) bool {
	return t.takeHeld(now) || b.takeOwn(now, t, rank)
}

// takeOwn spends a token of the parts that this host keeps.
func (b *Book[T]) takeOwn(now model.Instant, t *tenant[T], rank model.Rank) bool {
	return b.grants(now, t) && t.takeOwn(now, rank, 1) == 1
}

// earliest returns when a further operation would get a token; known is false if some owner may have one now.
func (b *Book[T]) earliest(now model.Instant, t *tenant[T], rank model.Rank) (at model.Instant, known bool) {
	if t.limit.none() {
		return now.Add(maxNext), true
	}
	if b.grants(now, t) {
		at, known = t.ownEarliest(now, rank)
	}
	for _, k := range t.owners {
		if now < k.silentUntil {
			continue
		}
		until := k.emptyUntil[rank.Index()]
		if until <= now {
			return 0, false
		}
		if !known || until < at {
			at, known = until, true
		}
	}
	if !known {
		return 0, false
	}
	return max(at, now.Add(seconds(float64(t.waiting(rank))/t.reached))), true
}

// Cancel removes an operation that waits; it has no effect on one that is decided.
func (b *Book[T]) Cancel(w *Waiter[T]) {
	if w.tenant == nil {
		return
	}
	w.tenant.queues[w.rank.Index()].remove(w)
	w.tenant = nil
}
