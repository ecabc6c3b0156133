package front

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// hostCommand returns a command issued by the host itself.
func hostCommand(verb statement.Verb, minPoint model.Point) statement.Command {
	return statement.Command{MinPoint: minPoint, Statement: statement.Statement{Verb: verb}}
}

// runAutocommit runs a statement outside any transaction and responds to the caller.
func (s *callerSession) runAutocommit(ctx context.Context, request statement.Request) error {
	policy, refusal := s.authorize()
	if refusal != nil {
		return s.refuse(request, refusal)
	}
	e := s.newExecution(request, policy)
	s.host.counters.Requests.Add(1)
	s.watch.begin(ctx)
	defer s.watch.end()
	if refusal := e.spendAllowance(ctx); refusal != nil {
		return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	}
	for {
		s.watch.begin(ctx)
		t, refusal := e.chooseTarget(ctx)
		if refusal != nil {
			return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
		}
		if address, found := e.holder(t); found {
			if done, err := e.relayAutocommit(ctx, t, address); done {
				return err
			}
			continue
		}
		permit, err := e.acquire(ctx, t)
		if err != nil {
			refusal := asRefusal(err)
			e.exclude(t.backend)
			if e.mayTryAnother(refusal, e.access == model.Read) && e.prepareRetry(ctx, refusal.Message, 0) {
				continue
			}
			return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
		}
		s.watch.end()
		done, err := e.tryAutocommit(ctx, t, permit)
		if done {
			return err
		}
	}
}

// mayTryAnother reports whether work that a scheduler refused may be tried again: on another instance if any would do, and in any case
// if the instance is gone, which stops its scheduler, or its primary is changing; another instance is then found, or a primary waited for.
func (e *execution) mayTryAnother(refusal *model.Refusal, anyInstance bool) bool {
	if refusal.Code == model.CodeStopping {
		return !e.session.host.terminating()
	}
	return (anyInstance && e.hasCandidate()) || e.awaitsPrimary()
}

// hasCandidate reports whether any instance has not been excluded.
func (e *execution) hasCandidate() bool {
	rs := e.session.host.replicaSet(e.policy.Database)
	if rs == nil {
		return false
	}
	_, found := e.pickTarget(rs, e.session.host.primary(e.policy.Database).Instance, nil)
	return found
}

// tryAutocommit tries the statement on one connection; it responds to the caller if that settles the request, and reports whether it did.
func (e *execution) tryAutocommit(ctx context.Context, t target, permit *scheduler.Permit[*pooledConn]) (done bool, err error) {
	s := e.session
	if !permit.Conn.Alive() {
		t.backend.scheduler.FinishStatement(permit, false, false)
		if e.prepareRetry(ctx, "the connection was closed", 0) {
			return false, nil
		}
		return true, s.caller.SendRefusal(e.recordRefusal(model.Refuse(model.CodeUnavailable, "the connection was closed")), statement.Idle)
	}
	if t.primary && !t.backend.enterPrimary(permit.Conn) {
		t.backend.scheduler.FinishStatement(permit, true, false)
		if e.prepareRetry(ctx, errReplaced.Error(), 0) {
			return false, nil
		}
		return true, s.caller.SendRefusal(e.recordRefusal(model.Refuse(model.CodeUnavailable, "%v", errReplaced)), statement.Idle)
	}
	trip := e.sendAutocommit(t, permit)
	if t.primary {
		trip.err = t.backend.leavePrimary(permit.Conn, trip.err)
	}
	if trip.err != nil {
		t.backend.scheduler.FinishStatement(permit, false, false)
		return e.handleBrokenConn(ctx, t, trip)
	}
	if trip.response.Succeeded() {
		if e.access == model.Write {
			s.state.RecordCommit(trip.response.Point)
		}
		e.recordServed(t.provesPrimary || e.access == model.Write)
		if trip.response.Room != nil {
			return true, e.sendLarge(t, permit, &trip)
		}
		err = s.caller.SendResponse(&trip.response, statement.Idle)
		t.backend.scheduler.FinishStatement(permit, trip.drain(), true)
		return true, err
	}
	if trip.response.Code == model.CodeInvalid && t.provesPrimary {
		// The instance has ended the transaction begun in advance; the statement did not run.
		t.backend.scheduler.FinishStatement(permit, false, false)
		if e.prepareRetry(ctx, "the transaction begun in advance was gone", 0) {
			return false, nil
		}
		return true, e.relayRefusal(&trip.response)
	}
	ran := trip.response.Code == model.CodeFailed || trip.response.Code == model.CodeTimeout
	t.backend.scheduler.FinishStatement(permit, trip.drain(), ran)
	return e.handleRefusal(ctx, t, &trip.response)
}

// recordServed counts and logs a successful statement; led says whether it proved that its instance was the primary.
func (e *execution) recordServed(led bool) {
	e.backend.replicaSet.retries.RecordSuccess()
	e.session.servedBy, e.session.servedByPrimary = e.instanceID(), led
	took := time.Since(e.arrived)
	e.session.host.counters.observeLatency(e.policy.ID, took)
	event.RequestServed(e.session.host.Logger, e.request.ID, e.policy.ID, e.instanceID(), 0, model.Millis(took))
}

// handleBrokenConn handles a connection that failed or timed out while the statement was in progress.
func (e *execution) handleBrokenConn(ctx context.Context, t target, trip roundTrip) (done bool, err error) {
	t.backend.noteError(trip.startedAt, trip.err)
	trip.response.Release()
	s := e.session
	if e.access == model.Write && trip.sent {
		refusal := model.OutcomeUnknown("the connection ended before the answer: %v", trip.err)
		return true, endIfNoRoom(trip.err, s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle))
	}
	if errors.Is(trip.err, ErrNoRoom) {
		return true, endIfNoRoom(trip.err, s.caller.SendRefusal(e.recordRefusal(refuseNoRoom()), statement.Idle))
	}
	e.mayHaveRun = e.mayHaveRun || trip.sent
	e.exclude(t.backend)
	e.allowRest()
	if e.prepareRetry(ctx, trip.err.Error(), 0) {
		return false, nil
	}
	return true, s.caller.SendRefusal(e.recordRefusal(model.Refuse(model.CodeUnavailable, "the connection ended before the answer")), statement.Idle)
}

// handleRefusal handles an instance's refusal of a statement.
func (e *execution) handleRefusal(ctx context.Context, t target, response *statement.Response) (done bool, err error) {
	switch response.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		e.handleWrongInstance(t, response.Code)
	case model.CodeOverloaded, model.CodeSlotsFull:
		if e.access == model.Read && !e.needsPrimary() {
			e.exclude(t.backend)
		}
	case model.CodeNoStatement:
	case model.CodeFailed:
		e.mayHaveRun = true
		if e.access == model.Write || e.attempts > 0 {
			return true, e.relayRefusal(response)
		}
		e.exclude(t.backend)
	default:
		return true, e.relayRefusal(response)
	}
	if e.prepareRetryAfter(ctx, response.Code) {
		return false, nil
	}
	if e.mayHaveRun {
		return true, e.relayRefusal(response)
	}
	refusal := withRetryAfter(model.Refuse(response.Code, "the instance refused: %s", response.Text), t.backend.retryAfter(response.Code))
	return true, e.session.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
}

// relayRefusal forwards an instance's refusal to the caller unchanged.
func (e *execution) relayRefusal(response *statement.Response) error {
	e.session.host.counters.countRefusal(response.Code)
	event.RequestRefused(e.session.host.Logger, e.request.ID, e.policy.ID, response.Code, e.instanceID(), model.Millis(time.Since(e.arrived)), response.Text)
	return e.session.caller.SendResponse(response, e.session.state.Transaction)
}
