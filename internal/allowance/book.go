package allowance

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

const (
	maxWaiting = 4096 // operations of a tenant that wait at a host
	// majorityLife is how long a host grants tokens without a call of SetHosts with more than half of the hosts.
	majorityLife = 2 * time.Second
	// handover is how long a new keeper waits while its part may still be granted by the previous one: hosts take another one for
	// dead 1.2 to 3.5 s after its last heartbeat.
	handover = 2300 * time.Millisecond
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
	all         []Host        // with rows
	known       int           // number of all
	majorityAt  model.Instant // when this host heard more than half of the hosts last
	majority    bool
	active      []*tenant[T]  // tenants whose operations wait
	provisional []*tenant[T]  // tenants of which this host keeps provisional parts
	votesAt     model.Instant // when votes are asked next
	inFlight    []*question   // in the order of their sequences
	lastDue     model.Instant
}

// New returns the book of a host; set its exported fields before use.
func New[T any](self Host, incarnation model.Incarnation) *Book[T] {
	return &Book[T]{
		self:        self,
		incarnation: incarnation,
		sequence:    model.Sequence(incarnation), // so that an answer to an earlier incarnation matches no question
		tenants:     make(map[model.TenantID]*tenant[T]),
	}
}

// SetLimits sets the limits of all tenants; a tenant that isn't listed is not limited.
func (b *Book[T]) SetLimits(now model.Instant, limits map[model.TenantID]Limit) {
	b.configured = true
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
			b.place(now, t)
		}
	}
	b.listProvisional()
}

// drop removes a tenant; operations that wait are decided by the next Due.
func (b *Book[T]) drop(t *tenant[T]) {
	t.limited = false
	t.keep(0, 0, 0, 0)
	delete(b.tenants, t.id)
}

// SetHosts sets the hosts that this one hears and all hosts that have rows, both with this one. The host grants tokens only while the
// calls show more than half of the hosts, so SetHosts has to be called at least once a second.
func (b *Book[T]) SetHosts(now model.Instant, live, all []Host) {
	resumes := !b.grants(now)
	if resumes { // others may have granted its parts meanwhile
		for _, t := range b.tenants {
			t.keep(0, 0, now, now)
		}
	}
	b.majority = 2*len(live) > len(all)
	if b.majority {
		b.majorityAt = now
	}
	live, all = sortedByID(live), sortedByID(all)
	changed := !slices.Equal(all, b.all) || !slices.Equal(live, b.live)
	b.live, b.all, b.known = live, all, len(all)
	if !changed && !(resumes && b.majority) {
		return
	}
	for _, t := range b.tenants {
		b.place(now, t)
	}
	b.votesAt = now
	b.listProvisional()
}

// grants reports whether this host hears more than half of the hosts and may grant tokens.
func (b *Book[T]) grants(now model.Instant) bool {
	return b.majority && now.Sub(b.majorityAt) <= majorityLife
}

// place determines the keepers of a tenant's parts.
func (b *Book[T]) place(now model.Instant, t *tenant[T]) {
	t.order = hashOrder(t.id, b.live)
	count, from := 0, now.Add(handover)
	if b.majority {
		count = t.shareOf(b.self.ID)
	}
	certain := count // parts that no other host keeps, or that the tolerance covers twice
	if len(b.live) < b.known && !t.covered {
		certain = min(count, t.shareIn(hashOrder(t.id, b.all), b.self.ID))
	}
	for i := range t.own[:min(certain, len(t.own))] {
		t.own[i].at, t.own[i].provisional = min(t.own[i].at, now), false
	}
	t.keep(certain, count, now, from)
	var keepers []*keeper
	for _, host := range b.preferred(t.id, t.order[:min(len(t.order), t.parts)]) {
		k := t.keeperOf(host.ID)
		if k == nil {
			k = &keeper{host: host.ID}
		}
		keepers = append(keepers, k)
	}
	t.keepers = keepers
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
	return b.grants(now) && t.takeOwn(now, rank, 1) == 1
}

// earliest returns when a further operation would get a token; known is false if some keeper may have one now.
func (b *Book[T]) earliest(now model.Instant, t *tenant[T], rank model.Rank) (at model.Instant, known bool) {
	if t.limit.none() {
		return now.Add(maxNext), true
	}
	if b.grants(now) {
		at, known = t.ownEarliest(now, rank)
	}
	for _, k := range t.keepers {
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
	return max(at, now.Add(seconds(float64(t.waiting(rank))/float64(t.limit.Rate)))), true
}

// Cancel removes an operation that waits; it has no effect on one that is decided.
func (b *Book[T]) Cancel(w *Waiter[T]) {
	if w.tenant == nil {
		return
	}
	w.tenant.queues[w.rank.Index()].remove(w)
	w.tenant = nil
}
