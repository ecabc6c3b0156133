package allowance

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// tenant is what a host knows of a tenant's allowance, as an owner and as a spender.
type tenant[T any] struct {
	id      model.TenantID
	limit   Limit
	limited bool // false for a tenant whose limit was removed while operations wait
	parts   int
	size    size
	covered bool // the tolerance covers all parts granted twice

	own         []bucket                       // the parts that this host keeps
	backlog     map[model.HostID]*hostsBacklog // operations that wait at other hosts
	pausedUntil model.Instant                  // while others wait, this host's own operations get no token of its parts before

	owners   []*owner // the other hosts that keep parts and are heard, in the order in which they are asked
	reached  float64  // tokens a second of the parts of the owners and of this host
	held     []batch
	queues   [model.RankCount]queue[T]
	asked    [model.RankCount]int // tokens in questions that are not answered yet
	earliest model.Instant        // no deadline of a waiter is before it
	active   bool                 // it is in the book's list
	demand   meter
}

// hostsBacklog is the number of operations that wait at a host, by rank, when it asked last.
type hostsBacklog struct {
	waiting [model.RankCount]int
	at      model.Instant
}

// owner is a host that keeps a part of a tenant.
type owner struct {
	host        model.HostID
	sequence    model.Sequence // of the question in flight; zero for none
	askAt       model.Instant
	silentUntil model.Instant                  // it didn't answer and is asked after the others
	emptyUntil  [model.RankCount]model.Instant // when an operation of the rank would get a token; in the past if unknown
}

// batch is a number of tokens granted together.
type batch struct {
	tokens  int
	expires model.Instant
}

// meter counts operations by the second.
type meter struct {
	since             model.Instant
	previous, current int
}

// add counts an operation.
func (m *meter) add(now model.Instant) {
	if passed := now.Sub(m.since); passed >= time.Second {
		if m.previous = m.current; passed >= 2*time.Second {
			m.previous = 0
		}
		m.current, m.since = 0, now
	}
	m.current++
}

// perSecond returns the operations of the last second, about.
func (m *meter) perSecond() int { return max(m.previous, m.current) }

// waiting returns the number of operations that wait here with a rank or a more urgent one.
func (t *tenant[T]) waiting(rank model.Rank) (count int) {
	for i := range rank.Index() + 1 {
		count += t.queues[i].length
	}
	return count
}

// ahead returns the number of operations that wait for tokens of this owner with a rank or a more urgent one, in the whole fleet.
func (t *tenant[T]) ahead(now model.Instant, rank model.Rank) int {
	count := t.waiting(rank)
	for _, host := range t.backlog {
		if now.Sub(host.at) > backlogLife {
			continue
		}
		for i := range rank.Index() + 1 {
			count += host.waiting[i]
		}
	}
	return count
}

// contended reports whether operations wait at other hosts for tokens of this owner.
func (t *tenant[T]) contended(now model.Instant) bool {
	return len(t.own) > 0 && t.ahead(now, model.RankThree) > t.waiting(model.RankThree)
}

// takeHeld spends a token that another host granted.
func (t *tenant[T]) takeHeld(now model.Instant) bool {
	t.held = slices.DeleteFunc(t.held, func(b batch) bool { return now >= b.expires || b.tokens <= 0 })
	if len(t.held) == 0 {
		return false
	}
	oldest := 0
	for i, b := range t.held {
		if b.expires < t.held[oldest].expires {
			oldest = i
		}
	}
	t.held[oldest].tokens--
	return true
}

// takeOwn returns up to count tokens of the parts that this host keeps.
func (t *tenant[T]) takeOwn(now model.Instant, rank model.Rank, count int) (taken int) {
	for i := range t.own {
		if taken == count {
			return taken
		}
		taken += t.own[i].take(now, t.size, rank, count-taken)
	}
	return taken
}

// ownNext returns when a part that this host keeps has a token for a rank.
func (t *tenant[T]) ownNext(rank model.Rank) (at model.Instant, ok bool) {
	for i := range t.own {
		if next := t.own[i].next(t.size, rank); !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// ownEarliest returns when a further operation of a rank would get a token of this host's parts, after those that wait.
func (t *tenant[T]) ownEarliest(now model.Instant, rank model.Rank) (at model.Instant, ok bool) {
	at, ok = t.ownNext(rank)
	return max(at, now.Add(seconds(float64(t.ahead(now, rank))/t.reached))), ok
}

// setLimit changes the limit; the parts that this host keeps hold no more tokens than before.
func (t *tenant[T]) setLimit(now model.Instant, tolerance Tolerance, limit Limit) {
	for i := range t.own {
		t.own[i].refill(now, t.size)
	}
	t.limit, t.limited = limit, true
	t.parts = tolerance.parts(limit)
	t.size = size{rate: (float64(limit.Rate) + tolerance.bonus(limit)) / float64(t.parts), burst: max(limit.capacity()/float64(t.parts), 1)}
	t.covered = tolerance.coversAll(limit)
	for i := range t.own {
		t.own[i].tokens = min(t.own[i].tokens, t.size.burst)
	}
}

// keep sets the number of parts that this host keeps. A new one begins with one token at a time, since its previous owner may have
// granted the others.
func (t *tenant[T]) keep(count int, from model.Instant) {
	t.own = t.own[:min(count, len(t.own))]
	for len(t.own) < count {
		t.own = append(t.own, bucket{tokens: 1, at: from})
	}
	if count == 0 {
		t.backlog = nil
	}
}

// ownerOf returns what is known of an owner, or nil.
func (t *tenant[T]) ownerOf(host model.HostID) *owner {
	for _, k := range t.owners {
		if k.host == host {
			return k
		}
	}
	return nil
}
