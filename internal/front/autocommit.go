package front

import (
	"context"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// hostCommand returns a command of the host's own.
func hostCommand(verb statement.Verb, least model.Point) statement.Command {
	return statement.Command{MinPoint: least, Statement: statement.Statement{Verb: verb}}
}

// runAutocommit carries out a statement outside any transaction and answers the caller.
func (v *callerSession) runAutocommit(ctx context.Context, request statement.Request) error {
	rules, found := v.host.view().Directory.Kinds[v.kind]
	if !found {
		return v.refuse(request, unknownKind())
	}
	w := v.newExecution(request, rules)
	v.host.counters.Requests.Add(1)
	for {
		t, refusal := w.chooseTarget(ctx)
		if refusal != nil {
			return v.caller.SendRefusal(w.recordRefusal(refusal), statement.Idle)
		}
		turn, err := w.acquire(ctx, t)
		if err != nil {
			refusal := asRefusal(err)
			w.exclude(t.backend)
			if w.access == model.Read && refusal.Code != model.CodeStopping && w.prepareRetry(ctx, refusal.Message, 0) && w.hasCandidate() {
				continue
			}
			return v.caller.SendRefusal(w.recordRefusal(refusal), statement.Idle)
		}
		done, err := w.tryAutocommit(ctx, t, turn)
		if done {
			return err
		}
	}
}

// hasCandidate reports whether an instance is left that has not refused or failed.
func (w *execution) hasCandidate() bool {
	g := w.session.host.replicaSet(w.policy.Database)
	if g == nil {
		return false
	}
	_, found := w.pickTarget(g, w.session.host.primary(w.policy.Database).Instance)
	return found
}

// tryAutocommit tries the statement on one connection, answers the caller when that settles it, and reports whether it did.
func (w *execution) tryAutocommit(ctx context.Context, t target, turn *lane.Turn[*pooledConn]) (done bool, err error) {
	v := w.session
	if !turn.Conn.Alive() {
		t.backend.lane.Done(turn, false, false)
		if w.prepareRetry(ctx, "the connection was closed", 0) {
			return false, nil
		}
		return true, v.caller.SendRefusal(w.recordRefusal(model.Refuse(model.CodeUnavailable, "the connection was closed")), statement.Idle)
	}
	run := w.sendAutocommit(t, turn)
	if run.err != nil {
		t.backend.lane.Done(turn, false, false)
		return w.handleBrokenConn(ctx, t, run)
	}
	if run.response.Succeeded() {
		if w.access == model.Write {
			v.tracker.Committed(run.response.Point)
		}
		err = v.caller.SendResponse(&run.response, statement.Idle)
		w.recordServed()
		t.backend.lane.Done(turn, run.drain(), true)
		return true, err
	}
	if run.response.Code == model.CodeInvalid && t.provesPrimary {
		// The instance has ended the transaction that was begun ahead; the statement did not run.
		t.backend.lane.Done(turn, false, false)
		if w.prepareRetry(ctx, "the transaction begun ahead was gone", 0) {
			return false, nil
		}
		return true, w.relayResponse(&run.response)
	}
	ran := run.response.Code == model.CodeFailed || run.response.Code == model.CodeTimeout
	t.backend.lane.Done(turn, run.drain() && run.response.Code != model.CodeNoStatement, ran)
	return w.handleRefusal(ctx, t, &run.response)
}

// recordServed counts and logs a statement that was answered.
func (w *execution) recordServed() {
	took := time.Since(w.arrived)
	w.session.host.counters.observeLatency(w.policy.ID, took)
	event.RequestServed(w.session.host.Logger, w.request.ID, w.policy.ID, w.instanceID(), 0, model.Millis(took))
}

// handleBrokenConn decides after a connection that broke or stayed silent while the statement was on its way.
func (w *execution) handleBrokenConn(ctx context.Context, t target, run roundTrip) (done bool, err error) {
	t.backend.noteFailure(run.sentAt)
	v := w.session
	if w.access == model.Write && run.sent {
		refusal := model.Doubt("the connection ended before the answer: %v", run.err)
		return true, v.caller.SendRefusal(w.recordRefusal(refusal), statement.Idle)
	}
	w.mayHaveRun = w.mayHaveRun || run.sent
	w.exclude(t.backend)
	w.startBy = w.deadline // it was on its way; what is left of its time is for another try
	if w.prepareRetry(ctx, run.err.Error(), 0) {
		return false, nil
	}
	return true, v.caller.SendRefusal(w.recordRefusal(model.Refuse(model.CodeUnavailable, "the connection ended before the answer")), statement.Idle)
}

// handleRefusal decides after an instance's refusal of a statement.
func (w *execution) handleRefusal(ctx context.Context, t target, answer *statement.Response) (done bool, err error) {
	pause := time.Duration(0)
	switch answer.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		w.handleWrongInstance(t.backend, answer.Code)
	case model.CodeOverloaded, model.CodeSlotsFull:
		if w.access == model.Read && !w.needsPrimary() {
			w.exclude(t.backend)
		}
		pause = w.retryPause()
	case model.CodeNoStatement:
	case model.CodeFailed:
		w.mayHaveRun = true
		if w.access == model.Write || w.attempts > 0 {
			return true, w.relayResponse(answer)
		}
		w.exclude(t.backend)
	default:
		return true, w.relayResponse(answer)
	}
	if w.prepareRetry(ctx, string(answer.Code), pause) {
		return false, nil
	}
	if w.mayHaveRun {
		return true, w.relayResponse(answer)
	}
	return true, w.session.caller.SendRefusal(w.recordRefusal(model.Refuse(answer.Code, "the instance refused: %s", answer.Text)), statement.Idle)
}

// relayResponse hands an instance's refusal on to the caller as it is.
func (w *execution) relayResponse(answer *statement.Response) error {
	w.session.host.counters.countRefusal(answer.Code)
	event.RequestRefused(w.session.host.Logger, w.request.ID, w.policy.ID, answer.Code, w.instanceID(), model.Millis(time.Since(w.arrived)), answer.Text)
	return w.session.caller.SendResponse(answer, w.session.tracker.State)
}
