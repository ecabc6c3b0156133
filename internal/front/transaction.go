package front

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// transaction is an open transaction on an instance, which keeps its connection.
type transaction struct {
	member *member
	turn   *scheduler.Permit[*link]
	began  time.Time
	plain  bool // the instance refuses its statements once it does not lead

	version model.Version // of the configuration when it began
}

// rollback rolls back and gives the connection back; one that does not answer is closed, which rolls back too.
func (t *transaction) rollback() {
	commands := []statement.Command{own(statement.Rollback, model.Point{})}
	run := exchange{member: t.member, link: t.turn.Conn, moment: clock.Boot(), version: t.version}
	if t.plain {
		commands = append(commands, own(statement.Begin, model.Point{}))
		run.next = true
	}
	run.tail = len(commands)
	sound := t.turn.Conn.Send(commands) == nil && run.drain()
	t.member.lane.FinishTransaction(t.turn, sound)
}

// join carries out a statement of the session's transaction and answers the caller.
func (v *visit) join(ctx context.Context, request statement.Request) error {
	w := v.newWork(request, v.rules)
	v.host.counters.Requests.Add(1)
	if w.access == model.Write && v.account.ReadOnly {
		v.account.FailTransaction()
		return v.refuse(request, model.Refuse(model.CodeNotPrimary, "the transaction only reads"))
	}
	for {
		first := v.open == nil
		if refusal := w.resume(ctx); refusal != nil {
			v.account.FailTransaction()
			return v.caller.Refuse(w.refused(refusal), v.account.Transaction)
		}
		answer, err := w.within(ctx)
		if first && (err != nil || stale(&answer)) {
			if w.anew(ctx, &answer, err) {
				continue
			}
			v.account.FailTransaction()
			return v.caller.Refuse(w.refused(model.Refuse(model.CodeTransactionEnded, "the transaction did not begin in time")), v.account.Transaction)
		}
		v.account.Wrote = v.account.Wrote || w.access == model.Write
		if err != nil {
			return v.lost(w, err)
		}
		v.open.member.lane.Suspend(v.open.turn, answer.Done())
		return v.joined(w, &answer)
	}
}

// stale reports whether an instance refused the first statement of a transaction because the transaction was begun ahead
// and is no longer good.
func stale(answer *statement.Answer) bool {
	return answer.Code == model.CodeNotPrimary || answer.Code == model.CodeInvalid
}

// resume takes a slot for the next statement of the session's transaction, which begins with the first one.
func (w *work) resume(ctx context.Context) *model.Refusal {
	open := w.visit.open
	if open == nil {
		return w.enter(ctx)
	}
	open.member.lane.Resume(open.turn)
	w.member = open.member
	return nil
}

// anew gives up a transaction whose first statement met a lost primary or connection, and reports whether it can begin
// elsewhere: it has kept nothing.
func (w *work) anew(ctx context.Context, answer *statement.Answer, err error) bool {
	open := w.visit.open
	w.visit.open = nil
	reason := string(answer.Code)
	if err != nil {
		reason = err.Error()
		open.member.failed(w.arrived)
		w.patience = w.deadline // it was on its way; what is left of its time is for another try
	}
	open.member.lane.FinishTransaction(open.turn, false)
	w.avoid(open.member)
	w.visit.host.poke()
	return w.retry(ctx, reason, 0)
}

// joined answers a statement of the transaction that the instance has answered.
func (v *visit) joined(w *work, answer *statement.Answer) error {
	if answer.Done() {
		w.served()
		return v.caller.Answer(answer, v.account.Transaction)
	}
	if answer.State != statement.Open {
		v.account.FailTransaction()
	}
	if answer.Code == model.CodeNotPrimary {
		v.host.poke()
	}
	if answer.State == statement.Idle {
		// The instance has ended the transaction by itself.
		v.open.member.lane.FinishTransaction(v.open.turn, true)
		v.open = nil
	}
	return w.pass(answer)
}

// lost ends a transaction whose connection broke before a commit was sent: nothing of it is kept.
func (v *visit) lost(w *work, err error) error {
	v.giveUp(w)
	v.account.FailTransaction()
	refusal := model.Refuse(model.CodeTransactionEnded, "the connection of the transaction ended: %v", err)
	return v.caller.Refuse(w.refused(refusal), v.account.Transaction)
}

// giveUp closes the connection of the open transaction.
func (v *visit) giveUp(w *work) {
	v.open.member.failed(w.arrived)
	v.open.member.lane.FinishTransaction(v.open.turn, false)
	v.open = nil
}

// enter begins the session's transaction on an instance and keeps the slot for its first statement.
func (w *work) enter(ctx context.Context) *model.Refusal {
	w.begin = true
	w.plain = !w.visit.account.ReadOnly
	for {
		t, refusal := w.choose(ctx)
		if refusal != nil {
			return refusal
		}
		turn, err := w.take(ctx, t)
		if err != nil {
			refusal := refusalOf(err)
			w.avoid(t.member)
			if !w.leads() && refusal.Code != model.CodeStopping && w.retry(ctx, refusal.Message, 0) && w.elsewhere() {
				continue
			}
			return refusal
		}
		refusal, again := w.start(ctx, t, turn)
		if !again {
			return refusal
		}
	}
}

// start begins the transaction on a connection; it returns a refusal, or whether to try again.
//
// On a primary the transaction that was begun ahead serves; the session's values go into it with the first statement.
func (w *work) start(ctx context.Context, t target, turn *scheduler.Permit[*link]) (refusal *model.Refusal, again bool) {
	conn, now := turn.Conn, time.Now()
	if !conn.Alive() {
		t.member.lane.FinishTransaction(turn, false)
		if w.retry(ctx, "the connection was closed", 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the connection was closed"), false
	}
	open := &transaction{member: t.member, turn: turn, began: now, plain: t.proof, version: w.version}
	if t.proof && conn.ready(w.version) {
		conn.begun = false
		w.visit.open = open
		return nil, false
	}
	t.member.asked(now)
	answer, err := w.beginOn(t, conn)
	t.member.settled()
	switch {
	case err != nil:
		t.member.failed(now)
		t.member.lane.FinishTransaction(turn, false)
		w.avoid(t.member)
		if w.retry(ctx, err.Error(), 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the transaction did not begin: %v", err), false
	case answer.Done():
		w.visit.open = open
		return nil, false
	}
	t.member.lane.FinishTransaction(turn, answer.State == statement.Idle)
	return w.notBegun(ctx, t, &answer)
}

// beginOn begins a transaction on a connection that has the session's values: a plain one on a primary, one that only
// reads on a replica whose log holds the least point.
func (w *work) beginOn(t target, conn *link) (answer statement.Answer, err error) {
	commands, _ := conn.footing.Sync(w.visit.account, w.request.Statement, nil)
	if t.proof {
		return conn.begin(t.member, commands, w.deadline)
	}
	if conn.begun {
		commands = append([]statement.Command{own(statement.Rollback, model.Point{})}, commands...)
		conn.begun = false
	}
	before := len(commands)
	if err := conn.Send(append(commands, own(statement.BeginRead, t.least))); err != nil {
		return answer, err
	}
	if err := align(conn, before, w.deadline); err != nil {
		return answer, err
	}
	answer, err = conn.Receive(w.deadline)
	if err != nil {
		return answer, err
	}
	t.member.note(0, &answer, false)
	if answer.Done() {
		t.member.held()
	}
	return answer, nil
}

// notBegun decides after an instance's refusal to begin a transaction.
func (w *work) notBegun(ctx context.Context, t target, answer *statement.Answer) (refusal *model.Refusal, again bool) {
	pause := time.Duration(0)
	switch answer.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		w.misplaced(t.member, answer.Code)
	default:
		pause = w.pause()
	}
	if w.retry(ctx, string(answer.Code), pause) {
		return nil, true
	}
	return model.Refuse(answer.Code, "the transaction did not begin: %s", answer.Text), false
}

// within sends the statement on the transaction's connection, again when it did not run for want of a slot.
func (w *work) within(ctx context.Context) (answer statement.Answer, err error) {
	open := w.visit.open
	conn := open.turn.Conn
	for {
		commands, aligned := conn.footing.Sync(w.visit.account, w.request.Statement, nil)
		before := len(commands)
		commands = append(commands, statement.Command{ID: w.request.ID, Statement: aligned})
		now, sent := time.Now(), clock.Boot()
		open.member.asked(now)
		var failed error
		if err = conn.Send(commands); err == nil {
			failed = align(conn, before, w.deadline)
			answer, err = conn.Receive(w.deadline)
		}
		open.member.settled()
		if failed != nil && (err != nil || answer.Done()) {
			err = failed
		}
		if err != nil {
			return answer, err
		}
		open.member.note(sent, &answer, open.plain)
		busy := answer.Code == model.CodeOverloaded || answer.Code == model.CodeSlotsFull
		if !busy || answer.State != statement.Open || !w.retry(ctx, string(answer.Code), w.pause()) {
			return answer, nil
		}
	}
}

// commit commits the session's transaction and answers the caller.
func (v *visit) commit(ctx context.Context, request statement.Request) error {
	w := v.newWork(request, v.rules)
	w.access = model.Read
	if v.account.Wrote {
		w.access = model.Write
	}
	v.host.counters.Requests.Add(1)
	if refusal := w.resume(ctx); refusal != nil {
		v.account.EndTransaction()
		return v.caller.Refuse(w.refused(refusal), statement.Idle)
	}
	run := w.end()
	open, wrote := v.open, v.account.Wrote
	if run.err != nil {
		v.giveUp(w)
		v.account.EndTransaction()
		refusal := model.Refuse(model.CodeTransactionEnded, "the connection ended before the answer to the commit: %v", run.err)
		if wrote {
			refusal = model.OutcomeUnknown("the connection ended before the answer to the commit: %v", run.err)
		}
		return v.caller.Refuse(w.refused(refusal), statement.Idle)
	}
	v.open = nil
	v.account.EndTransaction()
	if !run.answer.Done() {
		open.member.lane.FinishTransaction(open.turn, false)
		v.host.poke()
		return w.pass(&run.answer)
	}
	if wrote {
		v.account.RecordCommit(run.answer.Point)
	}
	err := v.caller.Answer(&run.answer, statement.Idle)
	w.served()
	open.member.lane.FinishTransaction(open.turn, run.drain())
	return err
}

// end sends the commit, and on a primary the begin of the connection's next use.
func (w *work) end() (run exchange) {
	open := w.visit.open
	run = exchange{member: open.member, link: open.turn.Conn, began: time.Now(), moment: clock.Boot(), version: w.version}
	commands := []statement.Command{{ID: w.request.ID, Statement: w.request.Statement}}
	if open.plain {
		commands = append(commands, own(statement.Begin, model.Point{}))
		run.tail, run.next = 1, true
	}
	open.member.asked(run.began)
	defer open.member.settled()
	if run.err = run.link.Send(commands); run.err != nil {
		return run
	}
	run.answer, run.err = run.link.Receive(w.deadline)
	if run.err == nil {
		open.member.note(run.moment, &run.answer, w.visit.account.Wrote)
	}
	return run
}
