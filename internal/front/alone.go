package front

import (
	"context"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// own returns a command of the host's own.
func own(verb statement.Verb, least model.Point) statement.Command {
	return statement.Command{Least: least, Statement: statement.Statement{Verb: verb}}
}

// alone carries out a statement outside any transaction and answers the caller.
func (v *visit) alone(ctx context.Context, request statement.Request) error {
	rules, found := v.host.view().Directory.Kinds[v.kind]
	if !found {
		return v.refuse(request, unknownKind())
	}
	w := v.newWork(request, rules)
	v.host.counters.Requests.Add(1)
	for {
		t, refusal := w.choose(ctx)
		if refusal != nil {
			return v.caller.Refuse(w.refused(refusal), statement.Idle)
		}
		turn, err := w.take(ctx, t)
		if err != nil {
			refusal := refusalOf(err)
			w.avoid(t.member)
			if w.access == model.Read && refusal.Code != model.CodeStopping && w.retry(ctx, refusal.Message, 0) && w.elsewhere() {
				continue
			}
			return v.caller.Refuse(w.refused(refusal), statement.Idle)
		}
		done, err := w.once(ctx, t, turn)
		if done {
			return err
		}
	}
}

// elsewhere reports whether an instance is left that has not refused or failed.
func (w *work) elsewhere() bool {
	g := w.visit.host.group(w.rules.Database)
	if g == nil {
		return false
	}
	_, found := w.pick(g, w.visit.host.primary(w.rules.Database).Instance)
	return found
}

// once tries the statement on one connection, answers the caller when that settles it, and reports whether it did.
func (w *work) once(ctx context.Context, t target, turn *scheduler.Permit[*link]) (done bool, err error) {
	v := w.visit
	if !turn.Conn.Alive() {
		t.member.lane.FinishStatement(turn, false, false)
		if w.retry(ctx, "the connection was closed", 0) {
			return false, nil
		}
		return true, v.caller.Refuse(w.refused(model.Refuse(model.CodeUnavailable, "the connection was closed")), statement.Idle)
	}
	run := w.exchange(t, turn)
	if run.err != nil {
		t.member.lane.FinishStatement(turn, false, false)
		return w.broken(ctx, t, run)
	}
	if run.answer.Done() {
		if w.access == model.Write {
			v.account.RecordCommit(run.answer.Point)
		}
		err = v.caller.Answer(&run.answer, statement.Idle)
		w.served()
		t.member.lane.FinishStatement(turn, run.drain(), true)
		return true, err
	}
	if run.answer.Code == model.CodeInvalid && t.proof {
		// The instance has ended the transaction that was begun ahead; the statement did not run.
		t.member.lane.FinishStatement(turn, false, false)
		if w.retry(ctx, "the transaction begun ahead was gone", 0) {
			return false, nil
		}
		return true, w.pass(&run.answer)
	}
	ran := run.answer.Code == model.CodeFailed || run.answer.Code == model.CodeTimeout
	t.member.lane.FinishStatement(turn, run.drain() && run.answer.Code != model.CodeNoStatement, ran)
	return w.declined(ctx, t, &run.answer)
}

// served counts and logs a statement that was answered.
func (w *work) served() {
	took := time.Since(w.arrived)
	w.visit.host.counters.served(w.rules.ID, took)
	event.RequestServed(w.visit.host.Logger, w.request.ID, w.rules.ID, w.instance(), 0, model.Millis(took))
}

// broken decides after a connection that broke or stayed silent while the statement was on its way.
func (w *work) broken(ctx context.Context, t target, run exchange) (done bool, err error) {
	t.member.failed(run.began)
	v := w.visit
	if w.access == model.Write && run.sent {
		refusal := model.OutcomeUnknown("the connection ended before the answer: %v", run.err)
		return true, v.caller.Refuse(w.refused(refusal), statement.Idle)
	}
	w.ran = w.ran || run.sent
	w.avoid(t.member)
	w.patience = w.deadline // it was on its way; what is left of its time is for another try
	if w.retry(ctx, run.err.Error(), 0) {
		return false, nil
	}
	return true, v.caller.Refuse(w.refused(model.Refuse(model.CodeUnavailable, "the connection ended before the answer")), statement.Idle)
}

// declined decides after an instance's refusal of a statement.
func (w *work) declined(ctx context.Context, t target, answer *statement.Answer) (done bool, err error) {
	pause := time.Duration(0)
	switch answer.Code {
	case model.CodeBehind, model.CodeNotPrimary:
		w.misplaced(t.member, answer.Code)
	case model.CodeOverloaded, model.CodeSlotsFull:
		if w.access == model.Read && !w.leads() {
			w.avoid(t.member)
		}
		pause = w.pause()
	case model.CodeNoStatement:
	case model.CodeFailed:
		w.ran = true
		if w.access == model.Write || w.attempts > 0 {
			return true, w.pass(answer)
		}
		w.avoid(t.member)
	default:
		return true, w.pass(answer)
	}
	if w.retry(ctx, string(answer.Code), pause) {
		return false, nil
	}
	if w.ran {
		return true, w.pass(answer)
	}
	return true, w.visit.caller.Refuse(w.refused(model.Refuse(answer.Code, "the instance refused: %s", answer.Text)), statement.Idle)
}

// pass hands an instance's refusal on to the caller as it is.
func (w *work) pass(answer *statement.Answer) error {
	w.visit.host.counters.refused(answer.Code)
	event.RequestRefused(w.visit.host.Logger, w.request.ID, w.rules.ID, answer.Code, w.instance(), model.Millis(time.Since(w.arrived)), answer.Text)
	return w.visit.caller.Answer(answer, w.visit.account.Transaction)
}
