package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

const (
	candidateLimit = 16                     // instances of a database that a choice looks at
	attemptLimit   = 12                     // tries of one statement, those on connections found closed included
	readSilence    = 400 * time.Millisecond // after which a read is tried elsewhere
	leastPause     = 5 * time.Millisecond   // before a try after a refusal for want of a slot; it grows
	mostPause      = 40 * time.Millisecond
	patienceShare  = 0.25 // work that is not on its way to an instance within this part of its goal is refused
	leastPatience  = 60 * time.Millisecond
)

// work is one statement on its way to an instance.
type work struct {
	visit    *visit
	request  statement.Request
	rules    model.Kind
	version  model.Version // of the configuration in force when it arrived
	access   model.Access
	begin    bool // a transaction begins with it
	plain    bool // the transaction may write, or its reads must be the newest
	arrived  time.Time
	deadline time.Time // by which it must be answered
	patience time.Time // by which it must be on its way to an instance
	attempts int
	tried    map[model.InstanceID]bool
	member   *member // that the newest try went to
	ran      bool    // a try may have run
}

// newWork returns the statement's way under the rules.
func (v *visit) newWork(request statement.Request, rules model.Kind) *work {
	now := time.Now()
	w := &work{
		visit:    v,
		request:  request,
		rules:    rules,
		version:  v.host.view().Directory.Version,
		access:   v.account.Access(request.Statement),
		arrived:  now,
		deadline: now.Add(rules.Timeout),
		patience: now.Add(max(time.Duration(float64(rules.Goal)*patienceShare), leastPatience)),
	}
	if w.patience.After(w.deadline) {
		w.patience = w.deadline
	}
	return w
}

// instance returns the name of the instance of the newest try.
func (w *work) instance() model.InstanceID {
	if w.member == nil {
		return ""
	}
	return w.member.entry.ID
}

// leads reports whether only the primary will do.
func (w *work) leads() bool {
	return w.access == model.Write || w.plain || w.rules.Consistency == model.ReadLatest
}

// target is where a try goes.
type target struct {
	member *member
	least  model.Point // that the log must hold; zero for any
	proof  bool        // the instance must prove that it leads
	leads  bool        // the instance is believed to lead
}

// choose returns where the next try goes, and waits for a primary while that may help; the refusal tells why there is none.
func (w *work) choose(ctx context.Context) (target, *model.Refusal) {
	for {
		changed := w.visit.host.Loop.Changed()
		g := w.visit.host.group(w.rules.Database)
		if g == nil {
			return target{}, model.Refuse(model.CodeUnavailable, "no instance of the database is known")
		}
		primary := w.visit.host.primary(w.rules.Database)
		found, ok := w.pick(g, primary.Instance)
		if ok {
			return found, nil
		}
		if len(w.tried) > 0 && primary.Instance != "" && primary.State == failover.Leading {
			return target{}, model.Refuse(model.CodeUnavailable, "each instance that would do has refused or failed")
		}
		until := w.patience
		if primary.ExpectedBack.After(until) && primary.ExpectedBack.Before(w.deadline) {
			until = primary.ExpectedBack // the wait is worth while
		}
		if primary.ExpectedBack.After(w.deadline) {
			return target{}, later(model.Refuse(model.CodeUnavailable, "the primary is lost and is not back in time"), time.Until(primary.ExpectedBack))
		}
		if !wait(ctx, changed, until) {
			return target{}, later(model.Refuse(model.CodeUnavailable, "no primary is known"), time.Until(primary.ExpectedBack))
		}
		clear(w.tried)
	}
}

// later sets when the caller is to come back.
func later(refusal *model.Refusal, after time.Duration) *model.Refusal {
	refusal.RetryAfter = max(after, 0)
	return refusal
}

// wait waits for the channel to close and reports false when the time comes first.
func wait(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// pick chooses among the members of the group.
func (w *work) pick(g *group, primary model.InstanceID) (target, bool) {
	var room [candidateLimit]placement.Candidate
	now := time.Now()
	members := g.list()
	candidates := room[:0]
	for _, m := range members[:min(len(members), candidateLimit)] {
		c := m.candidate(now, w.rules.ID, primary)
		c.Tried = w.tried[m.entry.ID]
		candidates = append(candidates, c)
	}
	if w.leads() {
		i := placement.ChoosePrimary(candidates)
		if i == placement.None || (candidates[i].Avoid && w.visit.host.primary(w.rules.Database).State == failover.Silent) {
			return target{}, false
		}
		return target{member: members[i], proof: w.access == model.Read || w.plain, leads: true}, true
	}
	want := g.needed(w.rules, w.visit.account.LastCommit)
	i := placement.ChooseForRead(candidates, want)
	if i == placement.None {
		if i = placement.ChoosePrimary(candidates); i == placement.None {
			return target{}, false
		}
	}
	if candidates[i].Primary {
		return target{member: members[i], proof: true, leads: true}, true
	}
	return target{member: members[i], least: want.MinPoint}, true
}

// list returns the members.
func (g *group) list() []*member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.members
}

// avoid leaves an instance out of the next tries.
func (w *work) avoid(m *member) {
	if w.tried == nil {
		w.tried = make(map[model.InstanceID]bool)
	}
	w.tried[m.entry.ID] = true
}

// misplaced learns from an instance that lacks what the work needs, a point of the log or the lead, and leaves it out.
func (w *work) misplaced(m *member, code model.Code) {
	if code == model.CodeBehind {
		m.lacked(clock.Boot())
	} else {
		w.visit.host.poke()
	}
	w.avoid(m)
}

// take waits for a turn on the target's instance.
func (w *work) take(ctx context.Context, t target) (*scheduler.Permit[*link], error) {
	w.member = t.member
	return t.member.lane.Acquire(ctx, scheduler.Request{
		Class:          admit.Class{Rank: w.rules.Rank, Kind: w.rules.ID, Session: w.visit.id},
		Deadline:       w.patience.Add(t.member.lane.ExpectedLatency(time.Now(), w.rules.ID)),
		KeepConnection: w.begin,
	})
}

// retry notes why a try failed, logs it, and reports whether another one is in time.
func (w *work) retry(ctx context.Context, reason string, pause time.Duration) bool {
	w.attempts++
	w.visit.host.counters.Retried.Add(1)
	if w.attempts >= attemptLimit || !time.Now().Add(pause).Before(w.patience) {
		return false
	}
	event.RequestRetried(w.visit.host.Logger, w.request.ID, w.rules.ID, w.instance(), model.Millis(time.Since(w.arrived)), reason)
	return clock.Pause(ctx, pause) == nil
}

// pause returns the wait before a try after a refusal for want of a slot, which grows and is spread.
func (w *work) pause() time.Duration {
	most := min(leastPause<<min(w.attempts, 8), mostPause)
	return most/2 + rand.N(most/2)
}

// refused logs a refusal and returns it.
func (w *work) refused(refusal *model.Refusal) *model.Refusal {
	if w.ran && refusal.NotRun {
		// A read may have run; it keeps nothing, which is what the code promises.
		refusal = &model.Refusal{Code: model.CodeTransactionEnded, NotRun: true, Message: refusal.Message, RetryAfter: refusal.RetryAfter}
	}
	w.visit.host.counters.refused(refusal.Code)
	log := w.visit.host.Logger
	waited := model.Millis(time.Since(w.arrived))
	if refusal.NotRun {
		event.RequestRefused(log, w.request.ID, w.rules.ID, refusal.Code, w.instance(), waited, refusal.Message)
	} else {
		event.RequestUnsure(log, w.request.ID, w.rules.ID, w.instance(), waited, refusal.Message)
	}
	return refusal
}

// silence returns until when an answer is waited for: a read is tried elsewhere when its instance says nothing for long.
func (w *work) silence(now time.Time) time.Time {
	if w.access == model.Read && !w.begin && now.Add(readSilence).Before(w.deadline) {
		return now.Add(readSilence)
	}
	return w.deadline
}

// refusalOf returns the refusal in an error of the lane.
func refusalOf(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return model.Refuse(model.CodeInternal, "%v", err)
}
