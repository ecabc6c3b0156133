package allowance

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

const (
	answerTimeout = 60 * time.Millisecond
	silence       = time.Second            // an owner that didn't answer is asked after the others
	pollInterval  = 400 * time.Millisecond // between questions to an owner without tokens; the hosts together ask often enough to use each token
	minInterval   = time.Millisecond       // between calls of Due for the tokens of this host
	stock         = 0.1                    // seconds of the usual demand that are asked in advance
)

// question is a question in flight.
type question struct {
	Question
	to      model.HostID
	sentAt  model.Instant
	overdue bool // another owner is asked
}

// Accept counts the tokens of an answer and returns the operations that it decides. An answer counts once, for a question in flight.
func (b *Book[T]) Accept(now model.Instant, answer Answer) []Decision[T] {
	index, found := slices.BinarySearchFunc(b.inFlight, answer.Sequence, func(q *question, s model.Sequence) int {
		return int(min(max(int64(q.Sequence-s), -1), 1))
	})
	if !found || b.inFlight[index].to != answer.From || now.Sub(b.inFlight[index].sentAt) >= validity {
		return nil
	}
	q := b.inFlight[index]
	b.inFlight = slices.Delete(b.inFlight, index, index+1)
	var decisions []Decision[T]
	for _, ask := range q.Parts {
		t := b.tenants[ask.Tenant]
		if t == nil {
			continue
		}
		i := slices.IndexFunc(answer.Parts, func(g Grant) bool { return g.Tenant == ask.Tenant && g.Rank == ask.Rank })
		grant := Grant{}
		if i >= 0 {
			grant = answer.Parts[i]
		}
		t.release(q, ask)
		t.accept(now, q, ask, grant)
		decisions = b.serve(now, t, decisions)
	}
	return decisions
}

// release records that a question is no longer waited for.
func (t *tenant[T]) release(q *question, ask Ask) {
	if !q.overdue {
		i := ask.Rank.Index()
		t.asked[i] = max(t.asked[i]-ask.Count, 0)
	}
}

// accept records a grant.
func (t *tenant[T]) accept(now model.Instant, q *question, ask Ask, grant Grant) {
	granted := min(max(grant.Granted, 0), ask.Count)
	if granted > 0 {
		t.held = append(t.held, batch{tokens: granted, expires: q.sentAt.Add(validity)})
	}
	k := t.ownerOf(q.to)
	if k == nil {
		return
	}
	if k.silentUntil = 0; k.sequence == q.Sequence {
		k.sequence = 0
	}
	k.emptyUntil[ask.Rank.Index()] = 0
	if granted == ask.Count {
		return
	}
	next := min(max(grant.Next, 0), maxNext)
	k.askAt = now.Add(pollInterval)
	if next > 0 {
		k.askAt = now.Add(min(max(next, minInterval), pollInterval))
		k.emptyUntil[ask.Rank.Index()] = now.Add(next)
	}
}

// serve gives the tokens that this host has to waiting operations. While operations wait at other hosts, it takes tokens of its own
// parts no more often than they can ask for them.
func (b *Book[T]) serve(now model.Instant, t *tenant[T], decisions []Decision[T]) []Decision[T] {
	contended := t.contended(now)
	paused := contended && now < t.pausedUntil
	for i := range t.queues {
		for q := &t.queues[i]; q.first != nil; {
			w := q.first
			switch {
			case !t.limited, t.takeHeld(now):
			case paused || !b.takeOwn(now, t, w.rank):
				return decisions
			case contended:
				t.pausedUntil = now.Add(pollInterval)
			}
			b.Cancel(w)
			decisions = append(decisions, Decision[T]{Waiter: w, Spent: true})
		}
	}
	return decisions
}

// Due returns the questions to send and the operations decided at this time. It is called after Spend has returned Waiting, and at
// the time that Next returns, which changes with every other call.
func (b *Book[T]) Due(now model.Instant) (questions []Outgoing, decisions []Decision[T]) {
	b.lastDue = now
	b.expireQuestions(now)
	for _, t := range b.active {
		decisions = b.expireWaiters(now, t, decisions)
		decisions = b.serve(now, t, decisions)
	}
	b.active = slices.DeleteFunc(b.active, func(t *tenant[T]) bool {
		t.active = t.waiting(model.RankThree) > 0
		return !t.active
	})
	var asks []outgoingAsks
	for _, t := range b.active {
		asks = b.ask(now, t, asks)
	}
	for _, to := range asks {
		questions = b.compose(now, to, questions)
	}
	return questions, decisions
}

// expireQuestions gives up questions without an answer.
func (b *Book[T]) expireQuestions(now model.Instant) {
	b.inFlight = slices.DeleteFunc(b.inFlight, func(q *question) bool {
		passed := now.Sub(q.sentAt)
		if passed < answerTimeout {
			return false
		}
		for _, ask := range q.Parts {
			t := b.tenants[ask.Tenant]
			if t == nil {
				continue
			}
			t.release(q, ask)
			k := t.ownerOf(q.to)
			if k == nil || k.sequence != q.Sequence {
				continue
			}
			k.silentUntil = q.sentAt.Add(silence)
			if passed >= validity {
				k.sequence = 0
			}
		}
		q.overdue = true
		return passed >= validity
	})
}

// expireWaiters refuses operations whose deadline has passed or that can't get a token any more.
func (b *Book[T]) expireWaiters(now model.Instant, t *tenant[T], decisions []Decision[T]) []Decision[T] {
	never := t.limited && t.limit.none()
	if now < t.earliest && !never {
		return decisions
	}
	t.earliest = now.Add(maxNext)
	for i := range t.queues {
		for w := t.queues[i].first; w != nil; {
			next := w.next
			if now < w.deadline && !never {
				t.earliest = min(t.earliest, w.deadline)
			} else {
				earliest, _ := b.earliest(now, t, w.rank)
				b.Cancel(w)
				decisions = append(decisions, Decision[T]{Waiter: w, RetryAfter: retryAfter(now, earliest)})
			}
			w = next
		}
	}
	return decisions
}

// outgoingAsks are the Asks for one owner.
type outgoingAsks struct {
	to   model.HostID
	asks []Ask
}

// ask adds the Asks for a tenant's waiting operations that no question in flight covers.
func (b *Book[T]) ask(now model.Instant, t *tenant[T], outgoing []outgoingAsks) []outgoingAsks {
	if !t.uncovered() {
		return outgoing
	}
	k := t.choose(now)
	if k == nil {
		return outgoing
	}
	index := slices.IndexFunc(outgoing, func(o outgoingAsks) bool { return o.to == k.host })
	if index < 0 {
		index = len(outgoing)
		outgoing = append(outgoing, outgoingAsks{to: k.host})
	}
	outgoing[index].asks = append(outgoing[index].asks, t.asksFor(now, k)...)
	return outgoing
}

// uncovered reports whether operations wait for which no token is asked.
func (t *tenant[T]) uncovered() bool {
	for i := range t.queues {
		if t.queues[i].length > t.asked[i] {
			return true
		}
	}
	return false
}

// choose returns the owner to ask now, or nil. Owners that didn't answer are asked if there is no other one.
func (t *tenant[T]) choose(now model.Instant) (silent *owner) {
	answering := false
	for _, k := range t.owners {
		if now >= k.silentUntil {
			answering = true
		}
		if k.sequence != 0 || now < k.askAt {
			continue
		}
		if now >= k.silentUntil {
			return k
		}
		if silent == nil {
			silent = k
		}
	}
	if answering {
		return nil
	}
	return silent
}

// asksFor returns the Asks to an owner, most urgent first. The last one asks in advance unless the owner lacked tokens.
func (t *tenant[T]) asksFor(now model.Instant, k *owner) (asks []Ask) {
	for i := range t.queues {
		if count := t.queues[i].length - t.asked[i]; count > 0 {
			asks = append(asks, Ask{Tenant: t.id, Rank: model.Rank(i + 1), Count: count, Waiting: t.queues[i].length})
		}
	}
	last := &asks[len(asks)-1]
	if k.askAt == 0 || now.Sub(k.askAt) > time.Second {
		last.Count += int(float64(t.demand.perSecond()) * stock)
	}
	for i := range asks {
		asks[i] = asks[i].bounded()
		t.asked[asks[i].Rank.Index()] += asks[i].Count
	}
	return asks
}

// compose appends the questions to an owner, each small enough for a datagram.
func (b *Book[T]) compose(now model.Instant, o outgoingAsks, questions []Outgoing) []Outgoing {
	for len(o.asks) > 0 {
		count := 1
		for count < min(len(o.asks), maxAsks) && questionSizeOf(b.self.ID, o.asks[:count+1]) <= questionSize {
			count++
		}
		b.sequence++
		q := &question{
			Question: Question{From: b.self.ID, Incarnation: b.incarnation, Sequence: b.sequence, Parts: o.asks[:count:count]},
			to:       o.to,
			sentAt:   now,
		}
		for _, ask := range q.Parts {
			if k := b.tenants[ask.Tenant].ownerOf(o.to); k != nil {
				k.sequence = b.sequence
			}
		}
		b.inFlight = append(b.inFlight, q)
		questions = append(questions, Outgoing{To: o.to, Question: q.Question})
		o.asks = o.asks[count:]
	}
	return questions
}

// Next returns when Due has to be called; due is false while no operation waits.
func (b *Book[T]) Next() (at model.Instant, due bool) {
	for _, t := range b.active {
		if t.waiting(model.RankThree) == 0 {
			continue
		}
		if next := t.nextDue(b.lastDue, b.grants(b.lastDue, t)); !due || next < at {
			at, due = next, true
		}
	}
	if !due {
		return 0, false
	}
	for _, q := range b.inFlight {
		after := answerTimeout
		if q.overdue {
			after = validity
		}
		at = min(at, q.sentAt.Add(after))
	}
	return max(at, b.lastDue.Add(minInterval)), true
}

// nextDue returns when the tenant's waiting operations may get a token, ask for one, or reach a deadline.
func (t *tenant[T]) nextDue(now model.Instant, keeps bool) model.Instant {
	at := t.earliest
	if !t.limited || t.limit.none() {
		return 0
	}
	if next, ok := t.ownNext(t.mostUrgent()); ok && keeps {
		at = min(at, max(next, t.pausedUntil))
	}
	if !t.uncovered() {
		return at
	}
	for _, k := range t.owners {
		if k.sequence == 0 {
			at = min(at, max(k.askAt, k.silentUntil))
		}
	}
	return at
}

// mostUrgent returns the most urgent rank that waits.
func (t *tenant[T]) mostUrgent() model.Rank {
	for i := range t.queues {
		if t.queues[i].length > 0 {
			return model.Rank(i + 1)
		}
	}
	return model.RankThree
}
