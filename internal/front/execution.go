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
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/place"
	"redwingspread/internal/statement"
)

const (
	maxCandidates      = 16                     // instances of a database that a choice looks at
	maxAttempts        = 12                     // tries of one statement, those on connections found closed included
	readAttemptTimeout = 400 * time.Millisecond // after which a read is tried elsewhere
	minRetryPause      = 5 * time.Millisecond   // before a try after a refusal for want of a slot; it grows
	maxRetryPause      = 40 * time.Millisecond
	startShare         = 0.25 // work that is not on its way to an instance within this part of its goal is refused
	minStartTime       = 60 * time.Millisecond
)

// execution is one statement on its way to an instance.
type execution struct {
	session           *callerSession
	request           statement.Request
	policy            model.Kind
	version           model.Version // of the configuration in force when it arrived
	access            model.Access
	startsTransaction bool // a transaction begins with it
	readWrite         bool // the transaction may write, or its reads must be the newest
	arrived           time.Time
	deadline          time.Time // by which it must be answered
	startBy           time.Time // by which it must be on its way to an instance
	attempts          int
	excluded          map[model.InstanceID]bool
	backend           *backend // that the newest try went to
	mayHaveRun        bool     // a try may have run
}

// newExecution returns the statement's way under the rules.
func (v *callerSession) newExecution(request statement.Request, rules model.Kind) *execution {
	now := time.Now()
	w := &execution{
		session:  v,
		request:  request,
		policy:   rules,
		version:  v.host.view().Directory.Version,
		access:   v.tracker.Access(request.Statement),
		arrived:  now,
		deadline: now.Add(rules.Timeout),
		startBy:  now.Add(max(time.Duration(float64(rules.Goal)*startShare), minStartTime)),
	}
	if w.startBy.After(w.deadline) {
		w.startBy = w.deadline
	}
	return w
}

// instanceID returns the name of the instance of the newest try.
func (w *execution) instanceID() model.InstanceID {
	if w.backend == nil {
		return ""
	}
	return w.backend.instance.ID
}

// needsPrimary reports whether only the primary will do.
func (w *execution) needsPrimary() bool {
	return w.access == model.Write || w.readWrite || w.policy.Reads == model.ReadNewest
}

// target is where a try goes.
type target struct {
	backend       *backend
	minPoint      model.Point // that the log must hold; zero for any
	provesPrimary bool        // the instance must prove that it leads
	primary       bool        // the instance is believed to lead
}

// chooseTarget returns where the next try goes, and waits for a primary while that may help; the refusal tells why there is none.
func (w *execution) chooseTarget(ctx context.Context) (target, *model.Refusal) {
	for {
		changed := w.session.host.Loop.Changed()
		g := w.session.host.replicaSet(w.policy.Database)
		if g == nil {
			return target{}, model.Refuse(model.CodeUnavailable, "no instance of the database is known")
		}
		primary := w.session.host.primary(w.policy.Database)
		found, ok := w.pickTarget(g, primary.Instance)
		if ok {
			return found, nil
		}
		if len(w.excluded) > 0 && primary.Instance != "" && primary.State == failover.Led {
			return target{}, model.Refuse(model.CodeUnavailable, "each instance that would do has refused or failed")
		}
		until := w.startBy
		if primary.Back.After(until) && primary.Back.Before(w.deadline) {
			until = primary.Back // the wait is worth while
		}
		if primary.Back.After(w.deadline) {
			return target{}, withRetryAfter(model.Refuse(model.CodeUnavailable, "the primary is lost and is not back in time"), time.Until(primary.Back))
		}
		if !waitChanged(ctx, changed, until) {
			return target{}, withRetryAfter(model.Refuse(model.CodeUnavailable, "no primary is known"), time.Until(primary.Back))
		}
		clear(w.excluded)
	}
}

// withRetryAfter sets when the caller is to come back.
func withRetryAfter(refusal *model.Refusal, after time.Duration) *model.Refusal {
	refusal.RetryAfter = max(after, 0)
	return refusal
}

// waitChanged waits for the channel to close and reports false when the time comes first.
func waitChanged(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
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

// pickTarget chooses among the members of the group.
func (w *execution) pickTarget(g *replicaSet, primary model.InstanceID) (target, bool) {
	var room [maxCandidates]place.Candidate
	now := time.Now()
	members := g.list()
	candidates := room[:0]
	for _, m := range members[:min(len(members), maxCandidates)] {
		c := m.candidate(now, w.policy.ID, primary)
		c.Tried = w.excluded[m.instance.ID]
		candidates = append(candidates, c)
	}
	if w.needsPrimary() {
		i := place.Lead(candidates)
		if i == place.None || (candidates[i].Avoid && w.session.host.primary(w.policy.Database).State == failover.Silent) {
			return target{}, false
		}
		return target{backend: members[i], provesPrimary: w.access == model.Read || w.readWrite, primary: true}, true
	}
	want := g.readRequirement(w.policy, w.session.tracker.Newest)
	i := place.Read(candidates, want)
	if i == place.None {
		if i = place.Lead(candidates); i == place.None {
			return target{}, false
		}
	}
	if candidates[i].Primary {
		return target{backend: members[i], provesPrimary: true, primary: true}, true
	}
	return target{backend: members[i], minPoint: want.Least}, true
}

// list returns the members.
func (g *replicaSet) list() []*backend {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.backends
}

// exclude leaves an instance out of the next tries.
func (w *execution) exclude(m *backend) {
	if w.excluded == nil {
		w.excluded = make(map[model.InstanceID]bool)
	}
	w.excluded[m.instance.ID] = true
}

// handleWrongInstance learns from an instance that lacks what the work needs, a point of the log or the lead, and leaves it out.
func (w *execution) handleWrongInstance(m *backend, code model.Code) {
	if code == model.CodeBehind {
		m.noteBehind(clock.Boot())
	} else {
		w.session.host.tickNow()
	}
	w.exclude(m)
}

// acquire waits for a turn on the target's instance.
func (w *execution) acquire(ctx context.Context, t target) (*lane.Turn[*pooledConn], error) {
	w.backend = t.backend
	return t.backend.lane.Take(ctx, lane.Want{
		Class:    admit.Class{Rank: w.policy.Rank, Kind: w.policy.ID, Session: w.session.id},
		Deadline: w.startBy.Add(t.backend.lane.Expect(time.Now(), w.policy.ID)),
		Keep:     w.startsTransaction,
	})
}

// prepareRetry notes why a try failed, logs it, and reports whether another one is in time.
func (w *execution) prepareRetry(ctx context.Context, reason string, pause time.Duration) bool {
	w.attempts++
	w.session.host.counters.Retries.Add(1)
	if w.attempts >= maxAttempts || !time.Now().Add(pause).Before(w.startBy) {
		return false
	}
	event.RequestRetried(w.session.host.Logger, w.request.ID, w.policy.ID, w.instanceID(), model.Millis(time.Since(w.arrived)), reason)
	return clock.Pause(ctx, pause) == nil
}

// retryPause returns the wait before a try after a refusal for want of a slot, which grows and is spread.
func (w *execution) retryPause() time.Duration {
	most := min(minRetryPause<<min(w.attempts, 8), maxRetryPause)
	return most/2 + rand.N(most/2)
}

// recordRefusal logs a refusal and returns it.
func (w *execution) recordRefusal(refusal *model.Refusal) *model.Refusal {
	if w.mayHaveRun && refusal.NotRun {
		// A read may have run; it keeps nothing, which is what the code promises.
		refusal = &model.Refusal{Code: model.CodeTransactionEnded, NotRun: true, Message: refusal.Message, RetryAfter: refusal.RetryAfter}
	}
	w.session.host.counters.countRefusal(refusal.Code)
	log := w.session.host.Logger
	waited := model.Millis(time.Since(w.arrived))
	if refusal.NotRun {
		event.RequestRefused(log, w.request.ID, w.policy.ID, refusal.Code, w.instanceID(), waited, refusal.Message)
	} else {
		event.RequestUnsure(log, w.request.ID, w.policy.ID, w.instanceID(), waited, refusal.Message)
	}
	return refusal
}

// responseDeadline returns until when an answer is waited for: a read is tried elsewhere when its instance says nothing for long.
func (w *execution) responseDeadline(now time.Time) time.Time {
	if w.access == model.Read && !w.startsTransaction && now.Add(readAttemptTimeout).Before(w.deadline) {
		return now.Add(readAttemptTimeout)
	}
	return w.deadline
}

// asRefusal returns the refusal in an error of the lane.
func asRefusal(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return model.Refuse(model.CodeInternal, "%v", err)
}
