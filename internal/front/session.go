package front

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// callerSession is one caller's session.
type callerSession struct {
	host         *Host
	caller       Caller
	id           model.SessionID
	kind         model.KindID
	tracker      *session.Account
	open         *transaction // nil while no instance holds one for the session
	policy       model.Kind   // in force for the open transaction
	waitingSince time.Time    // since when the session waits for a request
}

// serve serves the session until it ends.
func (v *callerSession) serve(ctx context.Context) error {
	defer v.cleanUp()
	kind, err := v.caller.ReadStart()
	if err != nil {
		return v.reject(err)
	}
	if refusal := v.host.checkKind(ctx, kind); refusal != nil {
		v.host.counters.countRefusal(refusal.Code)
		event.SessionRefused(v.host.Logger, kind, refusal.Code, v.host.view().Directory.Version, refusal.Message)
		return v.caller.RejectSession(refusal)
	}
	v.kind = kind
	if err := v.caller.AcceptSession(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		request, err := v.nextRequest()
		switch {
		case errors.Is(err, ErrNoRequest):
			if v.shouldEnd() {
				return nil
			}
			continue
		case err != nil:
			return v.endWithRefusal(err)
		}
		if err := v.handle(ctx, request); err != nil {
			return err
		}
		if v.shouldEnd() {
			return nil
		}
	}
	return nil
}

// configurationWait is how long a caller waits at a host that has just started: with a store that is slow, a first configuration
// takes a few hundred milliseconds, and another host may have one already.
const configurationWait = 400 * time.Millisecond

// checkKind returns a refusal when there is no such kind of work, or none is known yet.
func (h *Host) checkKind(ctx context.Context, kind model.KindID) *model.Refusal {
	limit := time.Now().Add(configurationWait)
	for {
		changed := h.Loop.Changed()
		d := h.view().Directory
		if _, found := d.Kinds[kind]; found {
			return nil
		}
		if d.Version > 0 {
			return unknownKind()
		}
		if !waitChanged(ctx, changed, limit) {
			return withRetryAfter(model.Refuse(model.CodeUnavailable, "the host has just started and knows no configuration"), configurationWait)
		}
	}
}

// reject tells a caller why the session does not begin.
func (v *callerSession) reject(err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return v.caller.RejectSession(refusal)
	}
	return err
}

// endWithRefusal tells a caller why the session ends, when its request could not be read.
func (v *callerSession) endWithRefusal(err error) error {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	v.host.counters.countRefusal(refusal.Code)
	if told := v.caller.SendRefusal(refusal, v.tracker.State); told != nil {
		return told
	}
	return err
}

// nextRequest waits for a request; a transaction that rests for too long is rolled back meanwhile.
func (v *callerSession) nextRequest() (statement.Request, error) {
	v.waitingSince = time.Now()
	limit := time.Time{}
	idle := v.host.view().Directory.Idle
	if v.open != nil && idle > 0 {
		limit = v.waitingSince.Add(idle)
	}
	request, err := v.caller.ReadRequest(limit)
	if !errors.Is(err, ErrNoRequest) {
		return request, err
	}
	if v.open != nil && (v.host.terminating() || (!limit.IsZero() && !time.Now().Before(limit))) {
		reason := "it rested for too long"
		if v.host.terminating() {
			reason = "the host stops"
		}
		v.abortTransaction(reason)
	}
	return request, err
}

// shouldEnd reports whether the session is to end: the host stops, and no transaction is open.
func (v *callerSession) shouldEnd() bool {
	return v.host.draining() && v.tracker.State != statement.Open || v.host.terminating()
}

// abortTransaction rolls the open transaction back on the instance; the caller hears of it at its next request.
func (v *callerSession) abortTransaction(reason string) {
	event.TransactionEnded(v.host.Logger, v.kind, v.open.backend.instance.ID, model.Millis(time.Since(v.open.begunAt)), reason)
	v.open.rollback()
	v.open = nil
	v.tracker.Fail()
}

// cleanUp ends what the session holds.
func (v *callerSession) cleanUp() {
	if v.open != nil {
		v.open.rollback()
		v.open = nil
	}
}

// handle carries out one request; an error ends the session.
func (v *callerSession) handle(ctx context.Context, request statement.Request) error {
	course, refusal := v.tracker.Take(request.Statement)
	switch course {
	case session.Settled:
		return v.respondLocally(request)
	case session.Refusing:
		return v.refuse(request, refusal)
	case session.Undoing:
		return v.rollback(refusal)
	case session.Alone:
		return v.runAutocommit(ctx, request)
	case session.Ending:
		return v.commit(ctx, request)
	default:
		return v.runInTransaction(ctx, request)
	}
}

// respondLocally answers a request that needed no instance.
func (v *callerSession) respondLocally(request statement.Request) error {
	if request.Verb == statement.Begin || request.Verb == statement.BeginRead {
		rules, found := v.host.view().Directory.Kinds[v.kind]
		if !found {
			v.tracker.Close()
			return v.refuse(request, unknownKind())
		}
		v.policy = rules
	}
	return v.caller.SendResponse(&statement.Response{}, v.tracker.State)
}

// unknownKind returns the refusal of a kind of work that is not, or no longer, configured.
func unknownKind() *model.Refusal {
	return model.Refuse(model.CodeUnknownDatabase, "no kind of work has this name")
}

// refuse tells the caller of a refusal and logs it.
func (v *callerSession) refuse(request statement.Request, refusal *model.Refusal) error {
	v.host.counters.countRefusal(refusal.Code)
	if refusal.Code != model.CodeInvalid {
		event.RequestRefused(v.host.Logger, request.ID, v.kind, refusal.Code, "", 0, refusal.Message)
	}
	return v.caller.SendRefusal(refusal, v.tracker.State)
}

// rollback ends a transaction without its changes: the caller is answered first, since nothing can keep them any more.
func (v *callerSession) rollback(refusal *model.Refusal) (err error) {
	open := v.open
	v.open = nil
	v.tracker.Close()
	if refusal != nil {
		err = v.caller.SendRefusal(refusal, statement.Idle)
	} else {
		err = v.caller.SendResponse(&statement.Response{}, statement.Idle)
	}
	if open != nil {
		open.rollback()
	}
	return err
}

// primary returns what is believed of the primary of a database.
func (h *Host) primary(database model.DatabaseID) governor.Primary {
	return h.view().Primaries[database]
}
