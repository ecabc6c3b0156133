package front

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// transaction is an open transaction on an instance; it holds a connection until it ends.
type transaction struct {
	backend   *backend
	permit    *scheduler.Permit[*pooledConn]
	begunAt   time.Time
	readWrite bool // the instance refuses its statements once it is no longer the primary

	version model.Version // configuration version at its begin
}

// rollback rolls back and releases the connection; if the instance does not respond, the connection is closed, which rolls back too.
func (t *transaction) rollback() {
	commands := []statement.Command{hostCommand(statement.Rollback, model.Point{})}
	trip := roundTrip{backend: t.backend, conn: t.permit.Conn, sentAt: clock.Boot(), version: t.version}
	if t.readWrite {
		commands = append(commands, hostCommand(statement.Begin, model.Point{}))
		trip.beginsNext = true
	}
	trip.pending = len(commands)
	reusable := t.permit.Conn.Send(commands) == nil && trip.drain()
	t.backend.scheduler.FinishTransaction(t.permit, reusable)
}

// runInTransaction runs a statement in the session's transaction and responds to the caller.
func (s *callerSession) runInTransaction(ctx context.Context, request statement.Request) error {
	e := s.newExecution(request, s.policy)
	s.host.counters.Requests.Add(1)
	if e.access == model.Write && s.state.ReadOnly {
		s.state.FailTransaction()
		return s.refuse(request, model.Refuse(model.CodeNotPrimary, "the transaction only reads"))
	}
	defer s.watch.end()
	for {
		s.watch.begin(ctx)
		if !s.inTransaction() {
			refusal := e.spendAllowance(ctx)
			if refusal == nil {
				refusal = e.openRemote(ctx)
			}
			if refusal != nil {
				s.state.FailTransaction()
				return s.caller.SendRefusal(e.recordRefusal(refusal), s.state.Transaction)
			}
		}
		if s.remote != nil {
			if done, err := s.runRemote(ctx, e); done {
				return err
			}
			continue
		}
		first := s.tx == nil
		if refusal := e.resumeTransaction(ctx); refusal != nil {
			s.state.FailTransaction()
			return s.caller.SendRefusal(e.recordRefusal(refusal), s.state.Transaction)
		}
		s.watch.end()
		response, err := e.sendInTransaction(ctx)
		if first && (err != nil || isStaleBegin(&response)) {
			if e.restartTransaction(ctx, &response, err) {
				continue
			}
			s.state.FailTransaction()
			return s.caller.SendRefusal(e.recordRefusal(model.Refuse(model.CodeTransactionEnded, "the transaction did not begin in time")), s.state.Transaction)
		}
		s.state.Wrote = s.state.Wrote || e.access == model.Write
		if err != nil {
			return s.handleLostConn(e, err)
		}
		s.tx.backend.scheduler.Suspend(s.tx.permit, response.Succeeded())
		return s.respondInTransaction(e, &response)
	}
}

// isStaleBegin reports whether an instance refused the first statement of a transaction because the transaction begun in
// advance is no longer valid.
func isStaleBegin(response *statement.Response) bool {
	return response.Code == model.CodeNotPrimary || response.Code == model.CodeInvalid
}

// resumeTransaction takes a slot for the next statement of the session's transaction; the first statement begins it.
func (e *execution) resumeTransaction(ctx context.Context) *model.Refusal {
	tx := e.session.tx
	if tx == nil {
		return e.beginTransaction(ctx)
	}
	tx.backend.scheduler.Resume(tx.permit)
	e.backend = tx.backend
	return nil
}

// restartTransaction discards a transaction whose first statement failed with the connection or the primary, and reports
// whether it can begin again on another instance; nothing of it has been committed.
func (e *execution) restartTransaction(ctx context.Context, response *statement.Response, err error) bool {
	tx := e.session.tx
	e.session.tx = nil
	reason := string(response.Code)
	if err != nil {
		reason = err.Error()
		tx.backend.noteError(e.arrived, err)
		e.allowRest()
	}
	tx.backend.scheduler.FinishTransaction(tx.permit, false)
	e.exclude(tx.backend)
	e.session.host.tickNow()
	return e.prepareRetry(ctx, reason, 0)
}

// respondInTransaction relays the instance's response to a statement of the transaction.
func (s *callerSession) respondInTransaction(e *execution, response *statement.Response) error {
	if response.Succeeded() {
		e.recordServed(s.tx.readWrite)
		return s.caller.SendResponse(response, s.state.Transaction)
	}
	if response.State != statement.Open {
		s.state.FailTransaction()
	}
	if response.Code == model.CodeNotPrimary {
		s.host.tickNow()
	}
	if response.State == statement.Idle {
		// The instance has ended the transaction by itself.
		s.tx.backend.scheduler.FinishTransaction(s.tx.permit, true)
		s.tx = nil
	}
	return e.relayRefusal(response)
}

// handleLostConn ends a transaction whose connection failed before a commit was sent, so that nothing of it is kept.
func (s *callerSession) handleLostConn(e *execution, err error) error {
	s.discardTransaction(e, err)
	s.state.FailTransaction()
	refusal := model.Refuse(model.CodeTransactionEnded, "the connection of the transaction ended: %v", err)
	return endIfNoRoom(err, s.caller.SendRefusal(e.recordRefusal(refusal), s.state.Transaction))
}

// discardTransaction closes the connection of the open transaction.
func (s *callerSession) discardTransaction(e *execution, err error) {
	s.tx.backend.noteError(e.arrived, err)
	s.tx.backend.scheduler.FinishTransaction(s.tx.permit, false)
	s.tx = nil
}

// beginTransaction begins the session's transaction on an instance and keeps the slot for its first statement.
func (e *execution) beginTransaction(ctx context.Context) *model.Refusal {
	e.startsTransaction = true
	e.readWrite = !e.session.state.ReadOnly
	for {
		t, refusal := e.chooseTarget(ctx)
		if refusal != nil {
			return refusal
		}
		permit, err := e.acquire(ctx, t)
		if err != nil {
			refusal := asRefusal(err)
			e.exclude(t.backend)
			if e.mayTryAnother(refusal, !e.needsPrimary()) && e.prepareRetry(ctx, refusal.Message, 0) {
				continue
			}
			return refusal
		}
		refusal, again := e.beginOnConn(ctx, t, permit)
		if !again {
			return refusal
		}
	}
}

// beginOnConn begins the transaction on a connection; it returns a refusal, or whether to try again.
//
// On a primary it uses the transaction begun in advance; the session's values are set in it with the first statement.
func (e *execution) beginOnConn(ctx context.Context, t target, permit *scheduler.Permit[*pooledConn]) (refusal *model.Refusal, again bool) {
	conn, now := permit.Conn, time.Now()
	if !conn.Alive() {
		t.backend.scheduler.FinishTransaction(permit, false)
		if e.prepareRetry(ctx, "the connection was closed", 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the connection was closed"), false
	}
	tx := &transaction{backend: t.backend, permit: permit, begunAt: now, readWrite: t.provesPrimary, version: e.version}
	if t.provesPrimary && conn.begunUnder(e.version) {
		conn.txBegun = false
		e.session.tx = tx
		return nil, false
	}
	t.backend.requestSent(now)
	response, err := e.sendBegin(t, conn)
	t.backend.requestDone()
	switch {
	case err != nil:
		t.backend.noteFailure(now)
		t.backend.scheduler.FinishTransaction(permit, false)
		e.exclude(t.backend)
		if e.prepareRetry(ctx, err.Error(), 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the transaction did not begin: %v", err), false
	case response.Succeeded():
		e.session.tx = tx
		return nil, false
	}
	t.backend.scheduler.FinishTransaction(permit, response.State == statement.Idle)
	return e.handleBeginRefusal(ctx, t, &response)
}

// sendBegin applies the session's values and begins a transaction: read-write on a primary, read-only on a replica whose log
// contains the required point.
func (e *execution) sendBegin(t target, conn *pooledConn) (response statement.Response, err error) {
	commands, _ := conn.connectionState.Sync(e.session.state, e.request.Statement, nil)
	if t.provesPrimary {
		response, err = conn.begin(t.backend, commands, e.deadline)
		e.recordSetup(err)
		return response, err
	}
	commands = conn.discardBegun(commands)
	if err := conn.Send(append(commands, hostCommand(statement.BeginRead, t.minPoint))); err != nil {
		return response, err
	}
	if err := conn.receiveSetup(commands, e.deadline); err != nil {
		e.recordSetup(err)
		return response, err
	}
	response, err = conn.Receive(e.deadline)
	if err != nil {
		return response, err
	}
	t.backend.observe(0, &response, false)
	if response.Succeeded() {
		t.backend.noteCaughtUp()
	}
	return response, nil
}

// handleBeginRefusal handles an instance's refusal to begin a transaction.
func (e *execution) handleBeginRefusal(ctx context.Context, t target, response *statement.Response) (refusal *model.Refusal, again bool) {
	switch response.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		e.handleWrongInstance(t, response.Code)
		again = e.prepareRetry(ctx, string(response.Code), 0)
	default:
		again = e.prepareRoomRetry(ctx, response.Code)
	}
	if again {
		return nil, true
	}
	return withRetryAfter(model.Refuse(response.Code, "the transaction did not begin: %s", response.Text), t.backend.retryAfter(response.Code)), false
}

// sendInTransaction sends the statement on the transaction's connection, and repeats it if it did not run for lack of a slot.
func (e *execution) sendInTransaction(ctx context.Context) (response statement.Response, err error) {
	tx := e.session.tx
	conn := tx.permit.Conn
	for {
		if tx.readWrite && !tx.backend.enterPrimary(conn) {
			return response, errReplaced
		}
		setup, adapted := conn.connectionState.Sync(e.session.state, e.request.Statement, nil)
		now, sent := time.Now(), clock.Boot()
		tx.backend.requestSent(now)
		var refused error
		response, refused, err = conn.exchange(setup, statement.Command{ID: e.request.ID, Statement: adapted}, nil, e.deadline)
		e.recordSetup(refused)
		tx.backend.requestDone()
		if tx.readWrite {
			err = tx.backend.leavePrimary(conn, err)
		}
		if err != nil {
			response.Release()
			return response, err
		}
		tx.backend.observe(sent, &response, tx.readWrite)
		busy := response.Code == model.CodeOverloaded || response.Code == model.CodeSlotsFull
		if !busy || response.State != statement.Open || !e.prepareRoomRetry(ctx, response.Code) {
			return response, nil
		}
	}
}

// commit commits the session's transaction and responds to the caller.
func (s *callerSession) commit(ctx context.Context, request statement.Request) error {
	e := s.newExecution(request, s.policy)
	e.access = model.Read
	if s.state.Wrote {
		e.access = model.Write
	}
	s.host.counters.Requests.Add(1)
	if s.remote != nil {
		return s.commitRemote(ctx, e)
	}
	s.watch.begin(ctx)
	refusal := e.spendAllowance(ctx) // of a transaction without statements
	if refusal == nil {
		refusal = e.resumeTransaction(ctx)
	}
	s.watch.end()
	if refusal != nil {
		s.state.EndTransaction()
		return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	}
	trip := e.sendCommit()
	tx, wrote := s.tx, s.state.Wrote
	if trip.err != nil {
		s.discardTransaction(e, trip.err)
		s.state.EndTransaction()
		refusal := model.Refuse(model.CodeTransactionEnded, "the connection ended before the answer to the commit: %v", trip.err)
		if wrote && trip.sent {
			refusal = model.OutcomeUnknown("the connection ended before the answer to the commit: %v", trip.err)
		}
		return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	}
	s.tx = nil
	s.state.EndTransaction()
	if !trip.response.Succeeded() {
		tx.backend.scheduler.FinishTransaction(tx.permit, false)
		s.host.tickNow()
		return e.relayRefusal(&trip.response)
	}
	if wrote {
		s.state.RecordCommit(trip.response.Point)
	}
	e.recordServed(wrote) // a commit without writes succeeds at an instance that no longer leads
	err := s.caller.SendResponse(&trip.response, statement.Idle)
	tx.backend.scheduler.FinishTransaction(tx.permit, trip.drain())
	return err
}

// sendCommit sends the commit and, on a primary, the begin for the connection's next use.
func (e *execution) sendCommit() (trip roundTrip) {
	tx := e.session.tx
	trip = roundTrip{backend: tx.backend, conn: tx.permit.Conn, startedAt: time.Now(), sentAt: clock.Boot(), version: e.version}
	commands := []statement.Command{{ID: e.request.ID, Statement: e.request.Statement}}
	if tx.readWrite {
		commands = append(commands, hostCommand(statement.Begin, model.Point{}))
		trip.pending, trip.beginsNext = 1, true
	}
	if tx.readWrite {
		if !tx.backend.enterPrimary(trip.conn) {
			trip.err = errReplaced
			return trip
		}
		defer func() { trip.err = tx.backend.leavePrimary(trip.conn, trip.err) }()
	}
	tx.backend.requestSent(trip.startedAt)
	defer tx.backend.requestDone()
	trip.sent = true
	if trip.err = trip.conn.Send(commands); trip.err != nil {
		return trip
	}
	trip.response, trip.err = trip.conn.Receive(e.deadline)
	if trip.err == nil {
		tx.backend.observe(trip.sentAt, &trip.response, e.session.state.Wrote)
	}
	return trip
}
