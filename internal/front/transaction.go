package front

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// transaction is an open transaction on an instance, which keeps its connection.
type transaction struct {
	backend   *backend
	lease     *lane.Turn[*pooledConn]
	begunAt   time.Time
	readWrite bool // the instance refuses its statements once it does not lead

	version model.Version // of the configuration when it began
}

// rollback rolls back and gives the connection back; one that does not answer is closed, which rolls back too.
func (t *transaction) rollback() {
	commands := []statement.Command{hostCommand(statement.Rollback, model.Point{})}
	run := roundTrip{backend: t.backend, conn: t.lease.Conn, sentInstant: clock.Boot(), version: t.version}
	if t.readWrite {
		commands = append(commands, hostCommand(statement.Begin, model.Point{}))
		run.beginsNext = true
	}
	run.pending = len(commands)
	sound := t.lease.Conn.Send(commands) == nil && run.drain()
	t.backend.lane.Release(t.lease, sound)
}

// runInTransaction carries out a statement of the session's transaction and answers the caller.
func (v *callerSession) runInTransaction(ctx context.Context, request statement.Request) error {
	w := v.newExecution(request, v.policy)
	v.host.counters.Requests.Add(1)
	if w.access == model.Write && v.tracker.ReadOnly {
		v.tracker.Fail()
		return v.refuse(request, model.Refuse(model.CodeNotPrimary, "the transaction only reads"))
	}
	for {
		first := v.open == nil
		if refusal := w.resumeTransaction(ctx); refusal != nil {
			v.tracker.Fail()
			return v.caller.SendRefusal(w.recordRefusal(refusal), v.tracker.State)
		}
		answer, err := w.sendInTransaction(ctx)
		if first && (err != nil || isStaleBegin(&answer)) {
			if w.restartTransaction(ctx, &answer, err) {
				continue
			}
			v.tracker.Fail()
			return v.caller.SendRefusal(w.recordRefusal(model.Refuse(model.CodeTransactionEnded, "the transaction did not begin in time")), v.tracker.State)
		}
		v.tracker.Wrote = v.tracker.Wrote || w.access == model.Write
		if err != nil {
			return v.handleLostConn(w, err)
		}
		v.open.backend.lane.Rest(v.open.lease, answer.Succeeded())
		return v.respondInTransaction(w, &answer)
	}
}

// isStaleBegin reports whether an instance refused the first statement of a transaction because the transaction was begun ahead
// and is no longer good.
func isStaleBegin(answer *statement.Response) bool {
	return answer.Code == model.CodeNotPrimary || answer.Code == model.CodeInvalid
}

// resumeTransaction takes a slot for the next statement of the session's transaction, which begins with the first one.
func (w *execution) resumeTransaction(ctx context.Context) *model.Refusal {
	open := w.session.open
	if open == nil {
		return w.beginTransaction(ctx)
	}
	open.backend.lane.Resume(open.lease)
	w.backend = open.backend
	return nil
}

// restartTransaction gives up a transaction whose first statement met a lost primary or connection, and reports whether it can begin
// elsewhere: it has kept nothing.
func (w *execution) restartTransaction(ctx context.Context, answer *statement.Response, err error) bool {
	open := w.session.open
	w.session.open = nil
	reason := string(answer.Code)
	if err != nil {
		reason = err.Error()
		open.backend.noteFailure(w.arrived)
		w.startBy = w.deadline // it was on its way; what is left of its time is for another try
	}
	open.backend.lane.Release(open.lease, false)
	w.exclude(open.backend)
	w.session.host.tickNow()
	return w.prepareRetry(ctx, reason, 0)
}

// respondInTransaction answers a statement of the transaction that the instance has answered.
func (v *callerSession) respondInTransaction(w *execution, answer *statement.Response) error {
	if answer.Succeeded() {
		w.recordServed()
		return v.caller.SendResponse(answer, v.tracker.State)
	}
	if answer.State != statement.Open {
		v.tracker.Fail()
	}
	if answer.Code == model.CodeNotPrimary {
		v.host.tickNow()
	}
	if answer.State == statement.Idle {
		// The instance has ended the transaction by itself.
		v.open.backend.lane.Release(v.open.lease, true)
		v.open = nil
	}
	return w.relayResponse(answer)
}

// handleLostConn ends a transaction whose connection broke before a commit was sent: nothing of it is kept.
func (v *callerSession) handleLostConn(w *execution, err error) error {
	v.discardTransaction(w)
	v.tracker.Fail()
	refusal := model.Refuse(model.CodeTransactionEnded, "the connection of the transaction ended: %v", err)
	return v.caller.SendRefusal(w.recordRefusal(refusal), v.tracker.State)
}

// discardTransaction closes the connection of the open transaction.
func (v *callerSession) discardTransaction(w *execution) {
	v.open.backend.noteFailure(w.arrived)
	v.open.backend.lane.Release(v.open.lease, false)
	v.open = nil
}

// beginTransaction begins the session's transaction on an instance and keeps the slot for its first statement.
func (w *execution) beginTransaction(ctx context.Context) *model.Refusal {
	w.startsTransaction = true
	w.readWrite = !w.session.tracker.ReadOnly
	for {
		t, refusal := w.chooseTarget(ctx)
		if refusal != nil {
			return refusal
		}
		turn, err := w.acquire(ctx, t)
		if err != nil {
			refusal := asRefusal(err)
			w.exclude(t.backend)
			if !w.needsPrimary() && refusal.Code != model.CodeStopping && w.prepareRetry(ctx, refusal.Message, 0) && w.hasCandidate() {
				continue
			}
			return refusal
		}
		refusal, again := w.beginOnConn(ctx, t, turn)
		if !again {
			return refusal
		}
	}
}

// beginOnConn begins the transaction on a connection; it returns a refusal, or whether to try again.
//
// On a primary the transaction that was begun ahead serves; the session's values go into it with the first statement.
func (w *execution) beginOnConn(ctx context.Context, t target, turn *lane.Turn[*pooledConn]) (refusal *model.Refusal, again bool) {
	conn, now := turn.Conn, time.Now()
	if !conn.Alive() {
		t.backend.lane.Release(turn, false)
		if w.prepareRetry(ctx, "the connection was closed", 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the connection was closed"), false
	}
	open := &transaction{backend: t.backend, lease: turn, begunAt: now, readWrite: t.provesPrimary, version: w.version}
	if t.provesPrimary && conn.begunUnder(w.version) {
		conn.txBegun = false
		w.session.open = open
		return nil, false
	}
	t.backend.requestSent(now)
	answer, err := w.sendBegin(t, conn)
	t.backend.requestDone()
	switch {
	case err != nil:
		t.backend.noteFailure(now)
		t.backend.lane.Release(turn, false)
		w.exclude(t.backend)
		if w.prepareRetry(ctx, err.Error(), 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the transaction did not begin: %v", err), false
	case answer.Succeeded():
		w.session.open = open
		return nil, false
	}
	t.backend.lane.Release(turn, answer.State == statement.Idle)
	return w.handleBeginRefusal(ctx, t, &answer)
}

// sendBegin begins a transaction on a connection that has the session's values: a plain one on a primary, one that only
// reads on a replica whose log holds the least point.
func (w *execution) sendBegin(t target, conn *pooledConn) (answer statement.Response, err error) {
	commands, _ := conn.sessionState.Align(w.session.tracker, w.request.Statement, nil)
	if t.provesPrimary {
		return conn.begin(t.backend, commands, w.deadline)
	}
	if conn.txBegun {
		commands = append([]statement.Command{hostCommand(statement.Rollback, model.Point{})}, commands...)
		conn.txBegun = false
	}
	before := len(commands)
	if err := conn.Send(append(commands, hostCommand(statement.BeginRead, t.minPoint))); err != nil {
		return answer, err
	}
	if err := receiveSetup(conn, before, w.deadline); err != nil {
		return answer, err
	}
	answer, err = conn.Receive(w.deadline)
	if err != nil {
		return answer, err
	}
	t.backend.observe(0, &answer, false)
	if answer.Succeeded() {
		t.backend.noteCaughtUp()
	}
	return answer, nil
}

// handleBeginRefusal decides after an instance's refusal to begin a transaction.
func (w *execution) handleBeginRefusal(ctx context.Context, t target, answer *statement.Response) (refusal *model.Refusal, again bool) {
	pause := time.Duration(0)
	switch answer.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		w.handleWrongInstance(t.backend, answer.Code)
	default:
		pause = w.retryPause()
	}
	if w.prepareRetry(ctx, string(answer.Code), pause) {
		return nil, true
	}
	return model.Refuse(answer.Code, "the transaction did not begin: %s", answer.Text), false
}

// sendInTransaction sends the statement on the transaction's connection, again when it did not run for want of a slot.
func (w *execution) sendInTransaction(ctx context.Context) (answer statement.Response, err error) {
	open := w.session.open
	conn := open.lease.Conn
	for {
		commands, aligned := conn.sessionState.Align(w.session.tracker, w.request.Statement, nil)
		before := len(commands)
		commands = append(commands, statement.Command{ID: w.request.ID, Statement: aligned})
		now, sent := time.Now(), clock.Boot()
		open.backend.requestSent(now)
		var failed error
		if err = conn.Send(commands); err == nil {
			failed = receiveSetup(conn, before, w.deadline)
			answer, err = conn.Receive(w.deadline)
		}
		open.backend.requestDone()
		if failed != nil && (err != nil || answer.Succeeded()) {
			err = failed
		}
		if err != nil {
			return answer, err
		}
		open.backend.observe(sent, &answer, open.readWrite)
		busy := answer.Code == model.CodeOverloaded || answer.Code == model.CodeSlotsFull
		if !busy || answer.State != statement.Open || !w.prepareRetry(ctx, string(answer.Code), w.retryPause()) {
			return answer, nil
		}
	}
}

// commit commits the session's transaction and answers the caller.
func (v *callerSession) commit(ctx context.Context, request statement.Request) error {
	w := v.newExecution(request, v.policy)
	w.access = model.Read
	if v.tracker.Wrote {
		w.access = model.Write
	}
	v.host.counters.Requests.Add(1)
	if refusal := w.resumeTransaction(ctx); refusal != nil {
		v.tracker.Close()
		return v.caller.SendRefusal(w.recordRefusal(refusal), statement.Idle)
	}
	run := w.sendCommit()
	open, wrote := v.open, v.tracker.Wrote
	if run.err != nil {
		v.discardTransaction(w)
		v.tracker.Close()
		refusal := model.Refuse(model.CodeTransactionEnded, "the connection ended before the answer to the commit: %v", run.err)
		if wrote {
			refusal = model.Doubt("the connection ended before the answer to the commit: %v", run.err)
		}
		return v.caller.SendRefusal(w.recordRefusal(refusal), statement.Idle)
	}
	v.open = nil
	v.tracker.Close()
	if !run.response.Succeeded() {
		open.backend.lane.Release(open.lease, false)
		v.host.tickNow()
		return w.relayResponse(&run.response)
	}
	if wrote {
		v.tracker.Committed(run.response.Point)
	}
	err := v.caller.SendResponse(&run.response, statement.Idle)
	w.recordServed()
	open.backend.lane.Release(open.lease, run.drain())
	return err
}

// sendCommit sends the commit, and on a primary the begin of the connection's next use.
func (w *execution) sendCommit() (run roundTrip) {
	open := w.session.open
	run = roundTrip{backend: open.backend, conn: open.lease.Conn, sentAt: time.Now(), sentInstant: clock.Boot(), version: w.version}
	commands := []statement.Command{{ID: w.request.ID, Statement: w.request.Statement}}
	if open.readWrite {
		commands = append(commands, hostCommand(statement.Begin, model.Point{}))
		run.pending, run.beginsNext = 1, true
	}
	open.backend.requestSent(run.sentAt)
	defer open.backend.requestDone()
	if run.err = run.conn.Send(commands); run.err != nil {
		return run
	}
	run.response, run.err = run.conn.Receive(w.deadline)
	if run.err == nil {
		open.backend.observe(run.sentInstant, &run.response, w.session.tracker.Wrote)
	}
	return run
}
