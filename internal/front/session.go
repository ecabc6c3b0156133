package front

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// visit is one caller's session.
type visit struct {
	host    *Host
	caller  Caller
	id      model.SessionID
	kind    model.KindID
	account *session.Session
	open    *transaction // nil while no instance holds one for the session
	rules   model.Kind   // in force for the open transaction
	rested  time.Time    // since when the session waits for a request
}

// serve serves the session until it ends.
func (v *visit) serve(ctx context.Context) error {
	defer v.drop()
	kind, err := v.caller.Start()
	if err != nil {
		return v.reject(err)
	}
	if refusal := v.host.offers(ctx, kind); refusal != nil {
		v.host.counters.refused(refusal.Code)
		event.SessionRefused(v.host.Logger, kind, refusal.Code, v.host.view().Directory.Version, refusal.Message)
		return v.caller.Reject(refusal)
	}
	v.kind = kind
	if err := v.caller.Welcome(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		request, err := v.next()
		switch {
		case errors.Is(err, ErrResting):
			if v.ended() {
				return nil
			}
			continue
		case err != nil:
			return v.part(err)
		}
		if err := v.handle(ctx, request); err != nil {
			return err
		}
		if v.ended() {
			return nil
		}
	}
	return nil
}

// learnTime is how long a caller waits at a host that has just started: with a store that is slow, a first configuration
// takes a few hundred milliseconds, and another host may have one already.
const learnTime = 400 * time.Millisecond

// offers returns a refusal when there is no such kind of work, or none is known yet.
func (h *Host) offers(ctx context.Context, kind model.KindID) *model.Refusal {
	limit := time.Now().Add(learnTime)
	for {
		changed := h.Loop.Changed()
		d := h.view().Directory
		if _, found := d.Kinds[kind]; found {
			return nil
		}
		if d.Version > 0 {
			return unknownKind()
		}
		if !wait(ctx, changed, limit) {
			return later(model.Refuse(model.CodeUnavailable, "the host has just started and knows no configuration"), learnTime)
		}
	}
}

// reject tells a caller why the session does not begin.
func (v *visit) reject(err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return v.caller.Reject(refusal)
	}
	return err
}

// part tells a caller why the session ends, when its request could not be read.
func (v *visit) part(err error) error {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	v.host.counters.refused(refusal.Code)
	if told := v.caller.Refuse(refusal, v.account.Transaction); told != nil {
		return told
	}
	return err
}

// next waits for a request; a transaction that rests for too long is rolled back meanwhile.
func (v *visit) next() (statement.Request, error) {
	v.rested = time.Now()
	limit := time.Time{}
	idle := v.host.view().Directory.TransactionIdleLimit
	if v.open != nil && idle > 0 {
		limit = v.rested.Add(idle)
	}
	request, err := v.caller.Next(limit)
	if !errors.Is(err, ErrResting) {
		return request, err
	}
	if v.open != nil && (v.host.halting() || (!limit.IsZero() && !time.Now().Before(limit))) {
		reason := "it rested for too long"
		if v.host.halting() {
			reason = "the host stops"
		}
		v.abandon(reason)
	}
	return request, err
}

// ended reports whether the session is to end: the host stops, and no transaction is open.
func (v *visit) ended() bool {
	return v.host.closing() && v.account.Transaction != statement.Open || v.host.halting()
}

// abandon rolls the open transaction back on the instance; the caller hears of it at its next request.
func (v *visit) abandon(reason string) {
	event.TransactionEnded(v.host.Logger, v.kind, v.open.member.entry.ID, model.Millis(time.Since(v.open.began)), reason)
	v.open.rollback()
	v.open = nil
	v.account.FailTransaction()
}

// drop ends what the session holds.
func (v *visit) drop() {
	if v.open != nil {
		v.open.rollback()
		v.open = nil
	}
}

// handle carries out one request; an error ends the session.
func (v *visit) handle(ctx context.Context, request statement.Request) error {
	course, refusal := v.account.Decide(request.Statement)
	switch course {
	case session.AnswerLocally:
		return v.settle(request)
	case session.RefuseRequest:
		return v.refuse(request, refusal)
	case session.RollBackTransaction:
		return v.undo(refusal)
	case session.RunAlone:
		return v.alone(ctx, request)
	case session.CommitTransaction:
		return v.commit(ctx, request)
	default:
		return v.join(ctx, request)
	}
}

// settle answers a request that needed no instance.
func (v *visit) settle(request statement.Request) error {
	if request.Verb == statement.Begin || request.Verb == statement.BeginRead {
		rules, found := v.host.view().Directory.Kinds[v.kind]
		if !found {
			v.account.EndTransaction()
			return v.refuse(request, unknownKind())
		}
		v.rules = rules
	}
	return v.caller.Answer(&statement.Answer{}, v.account.Transaction)
}

// unknownKind returns the refusal of a kind of work that is not, or no longer, configured.
func unknownKind() *model.Refusal {
	return model.Refuse(model.CodeUnknownDatabase, "no kind of work has this name")
}

// refuse tells the caller of a refusal and logs it.
func (v *visit) refuse(request statement.Request, refusal *model.Refusal) error {
	v.host.counters.refused(refusal.Code)
	if refusal.Code != model.CodeInvalid {
		event.RequestRefused(v.host.Logger, request.ID, v.kind, refusal.Code, "", 0, refusal.Message)
	}
	return v.caller.Refuse(refusal, v.account.Transaction)
}

// undo ends a transaction without its changes: the caller is answered first, since nothing can keep them any more.
func (v *visit) undo(refusal *model.Refusal) (err error) {
	open := v.open
	v.open = nil
	v.account.EndTransaction()
	if refusal != nil {
		err = v.caller.Refuse(refusal, statement.Idle)
	} else {
		err = v.caller.Answer(&statement.Answer{}, statement.Idle)
	}
	if open != nil {
		open.rollback()
	}
	return err
}

// primary returns what is believed of the primary of a database.
func (h *Host) primary(database model.DatabaseID) controller.Primary {
	return h.view().Primaries[database]
}
