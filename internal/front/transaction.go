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
	member *member
	turn   *lane.Turn[*link]
	began  time.Time
	plain  bool // the instance refuses its statements once it does not lead
}

// rollback rolls back and gives the connection back; one that does not answer is closed, which rolls back too.
func (t *transaction) rollback() {
	sound := t.turn.Conn.Send([]statement.Command{own(statement.Rollback, model.Point{})}) == nil
	if sound {
		answer, err := t.turn.Conn.Receive(time.Now().Add(drainLimit))
		sound = err == nil && answer.State == statement.Idle
	}
	t.member.lane.Release(t.turn, sound)
}

// join carries out a statement of the session's transaction and answers the caller.
func (v *visit) join(ctx context.Context, request statement.Request) error {
	w := v.newWork(request, v.rules)
	v.host.counters.Requests.Add(1)
	if w.access == model.Write && v.account.ReadOnly {
		v.account.Fail()
		return v.refuse(request, model.Refuse(model.CodeNotPrimary, "the transaction only reads"))
	}
	if v.open == nil {
		if refusal := w.enter(ctx); refusal != nil {
			v.account.Fail()
			return v.caller.Refuse(w.refused(refusal), v.account.State)
		}
	} else {
		v.open.member.lane.Resume(v.open.turn)
	}
	w.member = v.open.member
	v.account.Wrote = v.account.Wrote || w.access == model.Write
	answer, err := w.within(ctx, request)
	if err != nil {
		return v.lost(w, err, false)
	}
	v.open.member.lane.Rest(v.open.turn, answer.Done())
	return v.joined(w, &answer)
}

// joined answers a statement of the transaction that the instance has answered.
func (v *visit) joined(w *work, answer *statement.Answer) error {
	if answer.Done() {
		w.served()
		return v.caller.Answer(answer, v.account.State)
	}
	if answer.State != statement.Open {
		v.account.Fail()
	}
	if answer.Code == model.CodeNotPrimary {
		v.open.member.refused()
		v.host.poke()
	}
	if answer.State == statement.Idle {
		// The instance has ended the transaction by itself.
		v.open.member.lane.Release(v.open.turn, true)
		v.open = nil
	}
	return w.pass(answer)
}

// lost ends a transaction whose connection broke; only a commit that was sent leaves its outcome unknown.
func (v *visit) lost(w *work, err error, committing bool) error {
	v.open.member.failed(w.arrived)
	v.open.member.lane.Release(v.open.turn, false)
	v.open = nil
	if committing {
		v.account.Close()
		if v.account.Wrote || w.access == model.Write {
			return v.caller.Refuse(w.refused(model.Doubt("the connection ended before the answer to the commit: %v", err)), statement.Idle)
		}
	} else {
		v.account.Fail()
	}
	refusal := model.Refuse(model.CodeTransactionEnded, "the connection of the transaction ended: %v", err)
	return v.caller.Refuse(w.refused(refusal), v.account.State)
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
		if again {
			continue
		}
		return refusal
	}
}

// start begins the transaction on a connection; it returns a refusal, or whether to try again.
func (w *work) start(ctx context.Context, t target, turn *lane.Turn[*link]) (refusal *model.Refusal, again bool) {
	release := func(sound bool) { t.member.lane.Release(turn, sound) }
	if !turn.Conn.Alive() {
		release(false)
		if w.retry(ctx, "the connection was closed", 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the connection was closed"), false
	}
	verb, least := statement.Begin, model.Point{}
	if !t.proof {
		verb, least = statement.BeginRead, t.least
	}
	now, sent := time.Now(), clock.Boot()
	t.member.asked(now)
	defer t.member.settled()
	answer, err := ask(turn.Conn, own(verb, least), w.deadline)
	if err != nil {
		t.member.failed(now)
		release(false)
		w.avoid(t.member)
		if w.retry(ctx, err.Error(), 0) {
			return nil, true
		}
		return model.Refuse(model.CodeUnavailable, "the transaction did not begin: %v", err), false
	}
	t.member.note(sent, &answer, t.proof)
	if answer.Done() {
		if !t.proof {
			t.member.held()
		}
		w.visit.open = &transaction{member: t.member, turn: turn, began: now, plain: t.proof}
		return nil, false
	}
	release(answer.State == statement.Idle)
	return w.notBegun(ctx, t, &answer)
}

// notBegun decides after an instance's refusal to begin a transaction.
func (w *work) notBegun(ctx context.Context, t target, answer *statement.Answer) (refusal *model.Refusal, again bool) {
	pause := time.Duration(0)
	switch answer.Code {
	case model.CodeBehind:
		t.member.lacked(clock.Boot())
		w.avoid(t.member)
	case model.CodeNotPrimary:
		t.member.refused()
		w.visit.host.poke()
		w.avoid(t.member)
	default:
		pause = w.pause()
	}
	if w.retry(ctx, string(answer.Code), pause) {
		return nil, true
	}
	return model.Refuse(answer.Code, "the transaction did not begin: %s", answer.Text), false
}

// ask sends one command and receives its answer.
func ask(l *link, command statement.Command, limit time.Time) (answer statement.Answer, err error) {
	if err := l.Send([]statement.Command{command}); err != nil {
		return answer, err
	}
	return l.Receive(limit)
}

// within sends a statement on the transaction's connection, again when it did not run for want of a slot.
func (w *work) within(ctx context.Context, request statement.Request) (answer statement.Answer, err error) {
	open := w.visit.open
	for {
		commands, aligned := open.turn.Conn.footing.Align(w.visit.account, request.Statement, nil)
		before := len(commands)
		commands = append(commands, statement.Command{ID: request.ID, Statement: aligned})
		now, sent := time.Now(), clock.Boot()
		open.member.asked(now)
		if err = open.turn.Conn.Send(commands); err == nil {
			err = align(open.turn.Conn, before, w.deadline)
		}
		if err == nil {
			answer, err = open.turn.Conn.Receive(w.deadline)
		}
		open.member.settled()
		if err != nil {
			return answer, err
		}
		open.member.note(sent, &answer, open.plain && request.Verb != statement.Commit)
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
	if v.open == nil {
		if refusal := w.enter(ctx); refusal != nil {
			v.account.Close()
			return v.caller.Refuse(w.refused(refusal), statement.Idle)
		}
	} else {
		v.open.member.lane.Resume(v.open.turn)
	}
	w.member = v.open.member
	answer, err := w.within(ctx, request)
	if err != nil {
		return v.lost(w, err, true)
	}
	if answer.Done() && v.account.Wrote {
		v.account.Committed(answer.Point)
	}
	open := v.open
	v.open = nil
	v.account.Close()
	sound := answer.State == statement.Idle
	if !answer.Done() {
		open.member.lane.Release(open.turn, sound)
		if answer.Code == model.CodeNotPrimary {
			open.member.refused()
			v.host.poke()
		}
		return w.pass(&answer)
	}
	err = v.caller.Answer(&answer, statement.Idle)
	w.served()
	open.member.lane.Release(open.turn, sound)
	return err
}
