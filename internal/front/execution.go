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
	"redwingspread/internal/retry"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

const (
	maxCandidates      = 16                     // instances considered per choice
	maxAttempts        = 12                     // attempts per statement, including those on connections found closed
	readAttemptTimeout = 400 * time.Millisecond // after which a read is tried on another instance
	minRetryPause      = 5 * time.Millisecond   // before an attempt after a refusal for lack of a slot; doubles with each attempt
	maxRetryPause      = 40 * time.Millisecond  // upper bound of the doubling
	minResumeTime      = 300 * time.Millisecond // lower bound of the start limit after a wait for a primary: the longest backoff of its connections, 250 ms, and the opening of one
)

// execution is the processing of one statement.
type execution struct {
	session           *callerSession
	request           statement.Request
	policy            model.Kind
	version           model.Version // of the configuration in force on arrival
	access            model.Access
	startsTransaction bool // the statement begins a transaction
	readWrite         bool // the transaction may write or needs the newest data
	arrived           time.Time
	waitsFrom         time.Time     // from which the start limit counts
	startLimit        time.Duration // set by the host that passes the statement on; zero for none
	leastStart        time.Duration // lower bound of the time that it may wait; zero for none of its own
	sent              bool          // an attempt was sent and failed; the rest of the time is for another one
	deadline          time.Time     // for the response
	startBy           time.Time     // for sending the statement to an instance
	attempts          int
	excluded          map[model.InstanceID]bool
	elsewhere         bool                   // other hosts keep connections to some instance of the database, and pass this request on
	unreached         map[model.Address]bool // holders that did not take the request
	direct            bool                   // no further attempt is passed on
	backend           *backend               // of the latest attempt
	mayHaveRun        bool                   // an attempt may have run the statement
}

// newExecution returns the execution of a request under the policy of its kind of work.
func (s *callerSession) newExecution(request statement.Request, policy model.Kind) *execution {
	now := time.Now()
	e := &execution{
		session:  s,
		request:  request,
		policy:   policy,
		version:  s.host.view().Directory.Version,
		access:   s.state.Access(request.Statement),
		arrived:  now,
		deadline: now.Add(policy.Timeout),
	}
	if s.relayed {
		e.deadline = earlier(e.deadline, s.responseLimit)
	}
	e.renewStart(now)
	if s.relayed {
		e.startLimit = s.startLimit.Sub(now)
		e.startBy = e.startByAt(now, 0, 0)
	}
	return e
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// instanceID returns the instance of the latest attempt, or an empty id.
func (e *execution) instanceID() model.InstanceID {
	if e.backend == nil {
		return ""
	}
	return e.backend.instance.ID
}

// spendAllowance takes a token of the tenant's allowance for the operation, unless it has one; the host that passes a session on has
// taken it. It returns a refusal if there is none by the time by which the operation has to be sent.
func (e *execution) spendAllowance(ctx context.Context) *model.Refusal {
	s := e.session
	inTransaction := s.state.Transaction == statement.Open
	if s.tenant == "" || s.relayed || (inTransaction && s.charged) {
		return nil
	}
	s.charged = inTransaction
	refusal := s.host.allowances.spend(ctx, s.tenant, e.policy.Rank, e.startBy)
	if refusal == nil {
		s.host.counters.tenants.countOperation(s.tenant)
	}
	return refusal
}

// needsPrimary reports whether only the primary can run the statement.
func (e *execution) needsPrimary() bool {
	return e.access == model.Write || e.readWrite || e.policy.Consistency == model.ReadLatest
}

// target is the instance of the next attempt.
type target struct {
	backend       *backend
	minPoint      model.Point // that the instance's log must contain; zero for any
	provesPrimary bool        // the instance must prove that it is the primary
	primary       bool        // the instance is believed to be the primary
	choice        placement.Choice
}

// chooseTarget returns the target of the next attempt, waiting for a primary while that may help; a refusal tells why there is none.
func (e *execution) chooseTarget(ctx context.Context) (target, *model.Refusal) {
	for waited := false; ; waited = true {
		changed := e.session.host.Loop.Changed()
		if e.refusesToStop() {
			return target{}, refuseStopping()
		}
		rs := e.session.host.replicaSet(e.policy.Database)
		if rs == nil {
			return target{}, model.Refuse(model.CodeUnavailable, "no instance of the database is known")
		}
		primary := e.session.host.primary(e.policy.Database)
		found, ok := e.pickTarget(rs, primary.Instance, &rs.leaving)
		if ok {
			e.session.host.logLeaving(e.policy.Database, found.choice, &rs.leaving)
			if waited {
				e.resume(time.Now())
			}
			return found, nil
		}
		if e.session.relayed && (e.elsewhere || primary.State == failover.Silent) {
			return target{}, model.Refuse(model.CodeBehind, "no instance to which this host keeps connections would do")
		}
		if e.session.host.outOfTouch() {
			return target{}, withRetryAfter(model.Refuse(model.CodeUnavailable, "the host is out of touch with the other hosts and the store"), outOfTouchRetry)
		}
		if len(e.excluded) > 0 && primary.Instance != "" && primary.State == failover.Leading && !primary.Changing {
			return target{}, model.Refuse(model.CodeUnavailable, "each instance that would do has refused or failed")
		}
		wait := e.primaryWait(rs, &primary)
		until := wait.until()
		if wait.tooLate() {
			return target{}, withRetryAfter(model.Refuse(model.CodeUnavailable, "the primary is lost and is not back in time"), wait.retryAfter())
		}
		if !waitChanged(ctx, changed, until) {
			return target{}, withRetryAfter(model.Refuse(model.CodeUnavailable, "no primary is known"), e.primaryWait(rs, &primary).retryAfter())
		}
		if !e.needsPrimary() || e.session.host.primary(e.policy.Database) != primary {
			clear(e.excluded) // otherwise the attempt would be used up at an instance that has just failed
		}
	}
}

// renewStart gives a statement the time in which it would be sent had it arrived now.
func (e *execution) renewStart(now time.Time) {
	e.waitsFrom, e.startLimit = now, 0
	e.startBy = e.startByAt(now, 0, 0)
}

// resume renews the time of a statement that has waited for a primary, with enough of it for a connection to be opened.
func (e *execution) resume(now time.Time) {
	e.leastStart = minResumeTime
	e.renewStart(now)
	clear(e.unreached) // the holders may know the primary by now
}

// allowRest gives a statement the rest of its time for another attempt, after one that was sent and failed.
func (e *execution) allowRest() {
	e.sent = true
	e.startBy = e.startByAt(time.Now(), 0, 0)
}

// startByAt returns the time by which the statement has to be sent to an instance with the service time and the expected wait; zero for
// unknown ones.
func (e *execution) startByAt(now time.Time, service, expected time.Duration) time.Time {
	return e.waitsFrom.Add(e.session.host.StartLimit.Until(admit.Start{
		Waited:    now.Sub(e.waitsFrom),
		Goal:      e.policy.Goal,
		Deadline:  e.deadline.Sub(e.waitsFrom),
		Service:   service,
		Expected:  expected,
		Limit:     e.startLimit,
		Least:     e.leastStart,
		Elsewhere: !e.needsPrimary(),
		Sent:      e.sent,
	}))
}

// answerBy returns the time by which an instance with the service time and the expected wait has to answer, so that a statement is not
// sent when it can't be answered before its deadline. Half of the time that is left may always be spent waiting: a service time that
// was learned during an incident must not keep statements from an instance that works again.
func (e *execution) answerBy(now time.Time, service, expected time.Duration) time.Time {
	last := e.deadline.Add(-min(service, max(e.deadline.Sub(now), 0)/2))
	return earlier(e.startByAt(now, service, expected), last).Add(service)
}

// settledAt returns the time by which the host knows its primaries; it is in the past but for a host that has just started.
func (h *Host) settledAt() time.Time {
	return time.Now().Add(h.view().SettledBy.Sub(clock.Boot()))
}

// outOfTouchRetry is the suggested delay of callers whose host may not use primaries; their next session may reach another host.
const outOfTouchRetry = time.Second

// outOfTouch reports whether the host may not use primaries and is not likely to regain that right soon.
func (h *Host) outOfTouch() bool { return h.unfenced() && h.view().OutOfTouch(clock.Boot()) }

// withRetryAfter sets the delay after which the caller should retry.
func withRetryAfter(refusal *model.Refusal, after time.Duration) *model.Refusal {
	refusal.RetryAfter = max(after, 0)
	return refusal
}

// waitChanged waits for the channel to close and returns false if the time or the context ends first.
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

// pickTarget chooses among the backends of the replica set. With nil for the limit of what leaves the data centre nothing is counted.
func (e *execution) pickTarget(rs *replicaSet, primary model.InstanceID, limit *leaving) (target, bool) {
	var buffer [maxCandidates]placement.Candidate
	backends := rs.list()
	read := e.requirement(rs)
	candidates := e.survey(buffer[:0], backends, primary)
	if !e.needsPrimary() {
		if probe := rs.outliers.restrict(candidates, read.Requirement, e.countedAs(limit)); probe != placement.None {
			return readTarget(backends, candidates, &read, placement.Choice{Index: probe, Edge: candidates[probe].Edge, Reason: placement.ReasonProbe}), true
		}
	}
	return e.place(backends, candidates, &read, limit)
}

// requirement returns what a read needs of an instance; work for the primary needs nothing else.
func (e *execution) requirement(rs *replicaSet) placement.Read {
	if e.needsPrimary() {
		return placement.Read{}
	}
	return placement.Read{Requirement: rs.readRequirement(e.policy, e.session.state.LastCommit), Rank: e.policy.Rank, Goal: e.policy.Goal}
}

// survey appends the candidates among the backends.
func (e *execution) survey(candidates []placement.Candidate, backends []*backend, primary model.InstanceID) []placement.Candidate {
	now := time.Now()
	view := e.session.host.view()
	part := view.Directory.Weights.Part(e.session.tenant)
	for _, b := range backends[:min(len(backends), maxCandidates)] {
		share := view.Shares[b.instance.ID]
		passedOn := share.Holders != nil && !e.session.relayed && !share.Holders.TakesItself(e.session.tenant, part)
		c := b.candidate(now, e.policy.ID, e.session.tenant, primary, passedOn)
		c.Tried = e.excluded[b.instance.ID] || (c.Primary && !b.admitsPrimary())
		if e.session.relayed && !share.KeepsConnections(e.session.host.self.ID) {
			c.Tried, e.elsewhere = true, true
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// place chooses among the candidates.
func (e *execution) place(backends []*backend, candidates []placement.Candidate, read *placement.Read, limit *leaving) (target, bool) {
	if e.needsPrimary() {
		i := placement.ChoosePrimary(candidates)
		if i == placement.None || (candidates[i].Avoid && e.session.host.primary(e.policy.Database).State == failover.Silent) {
			return target{}, false
		}
		return target{backend: backends[i], provesPrimary: e.access == model.Read || e.readWrite, primary: true, choice: placement.ChoseOnly(candidates, i)}, true
	}
	choice := limit.choose(candidates, read, e.session.host.edgeCosts())
	if choice.Index == placement.None {
		i := placement.ChoosePrimary(candidates)
		if i == placement.None {
			return target{}, false
		}
		choice = placement.ChoseOnly(candidates, i)
	}
	return readTarget(backends, candidates, read, choice), true
}

// readTarget returns the target of a read.
func readTarget(backends []*backend, candidates []placement.Candidate, read *placement.Read, choice placement.Choice) target {
	if candidates[choice.Index].Primary {
		return target{backend: backends[choice.Index], provesPrimary: true, primary: true, choice: choice}
	}
	return target{backend: backends[choice.Index], minPoint: read.MinPoint, choice: choice}
}

// list returns the backends.
func (rs *replicaSet) list() []*backend {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	return rs.backends
}

// exclude leaves an instance out of further attempts.
func (e *execution) exclude(b *backend) {
	if e.excluded == nil {
		e.excluded = make(map[model.InstanceID]bool)
	}
	e.excluded[b.instance.ID] = true
}

// handleWrongInstance records that an instance is behind or not the primary, and excludes it.
func (e *execution) handleWrongInstance(t target, code model.Code) {
	if code == model.CodeBehind {
		t.backend.noteLacking(clock.Boot(), t.minPoint)
	} else {
		e.session.host.tickNow()
	}
	e.exclude(t.backend)
}

// acquire waits for a connection and a slot on the target.
func (e *execution) acquire(ctx context.Context, t target) (permit *scheduler.Permit[*pooledConn], err error) {
	e.backend = t.backend
	if e.session.relayed {
		var endWait func()
		ctx, endWait = e.session.beginWait(ctx)
		defer endWait()
		defer func() {
			if err != nil && e.refusesToStop() {
				err = refuseStopping()
			}
		}()
	}
	now := time.Now()
	wait, service := t.backend.scheduler.Expected(now, e.policy.ID)
	permit, err = t.backend.scheduler.Acquire(ctx, scheduler.Request{
		Class:          admit.Class{Rank: e.policy.Rank, Kind: e.policy.ID, Session: e.session.id},
		Deadline:       e.answerBy(now, service, wait),
		KeepConnection: e.startsTransaction,
		Tenant:         e.session.tenant,
		OnlyHere:       e.needsPrimary(),
	})
	if err != nil {
		return nil, err
	}
	if e.session.watch.gone.Load() {
		e.release(t, permit)
		return nil, model.Refuse(model.CodeDeadline, "the caller has closed its connection")
	}
	e.session.host.counters.placed.count(t.choice)
	return permit, nil
}

// release returns a permit that was not used.
func (e *execution) release(t target, permit *scheduler.Permit[*pooledConn]) {
	if e.startsTransaction {
		t.backend.scheduler.FinishTransaction(permit, true)
	} else {
		t.backend.scheduler.FinishStatement(permit, true, false)
	}
}

// prepareRetry counts a failed attempt; if another one is in time, it logs the reason, pauses and returns true.
func (e *execution) prepareRetry(ctx context.Context, reason string, pause time.Duration) bool {
	e.attempts++
	e.session.host.counters.Retries.Add(1)
	if e.attempts >= maxAttempts || ctx.Err() != nil || !(time.Now().Add(pause).Before(e.startBy) || e.awaitsPrimary()) {
		return false
	}
	event.RequestRetried(e.session.host.Logger, e.request.ID, e.policy.ID, e.instanceID(), model.Millis(time.Since(e.arrived)), reason)
	return clock.Pause(ctx, pause) == nil
}

// prepareRetryAfter is prepareRetry after a refusal by an instance.
func (e *execution) prepareRetryAfter(ctx context.Context, code model.Code) bool {
	if retry.LacksRoom(code) {
		return e.prepareRoomRetry(ctx, code)
	}
	return e.prepareRetry(ctx, string(code), 0)
}

// prepareRoomRetry is prepareRetry after a refusal for lack of room, with a pause, and within the budget of the database.
func (e *execution) prepareRoomRetry(ctx context.Context, code model.Code) bool {
	return e.takeRetry(ctx, code) && e.prepareRetry(ctx, string(code), e.retryPause())
}

// takeRetry takes a retry from the budget of the database, for which it waits while the statement may; it reports whether it got one.
// After a wait any instance may be the best one again.
func (e *execution) takeRetry(ctx context.Context, code model.Code) bool {
	budget := e.backend.replicaSet.retries
	if !retry.LacksRoom(code) || budget.Take() {
		return true
	}
	e.session.host.counters.Withheld.Add(1)
	event.RetryWithheld(e.session.host.Logger, e.request.ID, e.policy.ID, e.instanceID(), model.Millis(time.Since(e.arrived)), code)
	e.session.watch.begin(ctx)
	clear(e.excluded)
	for {
		pause := maxRetryPause/2 + rand.N(maxRetryPause/2)
		if !time.Now().Add(pause).Before(e.startBy) || clock.Pause(ctx, pause) != nil {
			return false
		}
		if budget.Take() {
			return true
		}
	}
}

// retryPause returns the jittered exponential pause after a refusal for lack of a slot.
func (e *execution) retryPause() time.Duration {
	longest := min(minRetryPause<<min(e.attempts, 8), maxRetryPause)
	return longest/2 + rand.N(longest/2)
}

// recordRefusal counts and logs a refusal and returns it.
func (e *execution) recordRefusal(refusal *model.Refusal) *model.Refusal {
	if refusal.NotRun && e.session.watch.gone.Load() {
		e.session.host.counters.CallersGone.Add(1)
		event.CallerGone(e.session.host.Logger, e.request.ID, e.policy.ID, e.instanceID(), model.Millis(time.Since(e.arrived)))
		return refusal
	}
	refusal = e.advise(refusal, rand.Float64())
	if e.mayHaveRun && refusal.NotRun {
		// A read may have run; it has no effect, which is what this code promises.
		refusal = &model.Refusal{Code: model.CodeTransactionEnded, NotRun: true, Message: refusal.Message, RetryAfter: refusal.RetryAfter}
	}
	e.session.host.counters.countRefusal(refusal.Code)
	if refusal.NotRun {
		e.session.host.counters.countRejection(e.rejectionReason(refusal.Code), time.Since(e.arrived))
	}
	if e.session.tenant != "" && !e.session.relayed {
		e.session.host.counters.tenants.countRefusal(e.session.tenant, refusal.Code)
	}
	log := e.session.host.Logger
	waited := model.Millis(time.Since(e.arrived))
	if refusal.NotRun {
		event.RequestRefused(log, e.request.ID, e.policy.ID, refusal.Code, e.instanceID(), waited, refusal.Message)
	} else {
		event.RequestUnsure(log, e.request.ID, e.policy.ID, e.instanceID(), waited, refusal.Message)
	}
	return refusal
}

// rejectionReason returns why a statement that has not run is rejected, for the metrics.
func (e *execution) rejectionReason(code model.Code) rejection {
	switch {
	case retry.LacksRoom(code) && e.attempts == 0:
		return rejectedByQueue
	case retry.LacksRoom(code):
		return rejectedByInstance
	case code == model.CodeDeadline:
		return rejectedAsLate
	case code == model.CodeUnavailable:
		return rejectedWithoutInstance
	case code == model.CodeAllowance:
		return rejectedByAllowance
	default:
		return rejectedOtherwise
	}
}

// advise returns the refusal with the time after which the caller should come back, if it was refused for lack of room. A host that
// passes the session on tells its caller itself.
func (e *execution) advise(refusal *model.Refusal, random float64) *model.Refusal {
	if e.session.relayed {
		return refusal
	}
	advised := *refusal
	if retry.LacksRoom(refusal.Code) || refusal.Code == model.CodeDeadline {
		advised.RetryAfter = retry.After(refusal.RetryAfter, random)
	}
	if advised.RetryAfter > 0 && time.Now().Add(advised.RetryAfter).After(e.deadline) {
		advised.Message = "past the deadline: " + refusal.Message
	}
	return &advised
}

// responseDeadline returns the time limit for a response: a read gets less, so that it can be tried on another instance.
func (e *execution) responseDeadline(now time.Time) time.Time {
	if e.access == model.Read && !e.startsTransaction && now.Add(readAttemptTimeout).Before(e.deadline) {
		return now.Add(readAttemptTimeout)
	}
	return e.deadline
}

// asRefusal returns the refusal in an error of the scheduler.
func asRefusal(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return model.Refuse(model.CodeInternal, "%v", err)
}
