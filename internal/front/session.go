package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/event"
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
	key          model.KeyDigest
	charged      bool           // the open transaction has a token of the tenant's allowance
	tenant       model.TenantID // of the key, as of the newest operation; empty where keys are not needed
	state        *session.Session
	tx           *transaction   // nil while no instance holds a transaction of the session
	remote       *remoteSession // nil while no other host serves a transaction of the session
	policy       model.Kind     // in force for the open transaction
	evicted      atomic.Bool    // its connection was closed in favour of a new one
	waitingSince time.Time      // start of the wait for the next request
	watch        closeWatch     // of the caller's connection while a statement waits

	relayed         bool                               // another host passes the session on
	endWait         atomic.Pointer[context.CancelFunc] // ends the wait for a connection of such a session; nil while it doesn't wait
	leastVersion    model.Version                      // of the configuration that serves a session that another host passes on
	startLimit      time.Time                          // by which the other host wants the request to be sent to an instance
	responseLimit   time.Time                          // and by which it wants the response
	servedBy        model.InstanceID                   // of the newest response
	servedByPrimary bool                               // the instance proved with it that it was the primary
}

// serve serves the session until it ends.
func (s *callerSession) serve(ctx context.Context) error {
	defer s.cleanUp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.watch.caller, s.watch.cancel = s.caller, cancel
	start, err := s.caller.ReadStart()
	if errors.Is(err, ErrNoRequest) && s.host.draining() {
		start, err = s.caller.ReadStart() // the interrupt came first; the message is likely to have arrived
	}
	if err != nil {
		return s.reject(err)
	}
	s.kind, s.key = start.Kind, start.Key
	refusal := s.host.awaitConfiguration(ctx)
	if refusal == nil {
		s.policy, refusal = s.authorize() // a session that another host passes on may be in a transaction
	}
	if refusal != nil {
		s.host.counters.countRefusal(refusal.Code)
		event.SessionRefused(s.host.Logger, s.kind, refusal.Code, s.host.view().Directory.Version, refusal.Message)
		return s.caller.RejectSession(refusal)
	}
	if err := s.caller.AcceptSession(); err != nil {
		return err
	}
	lookFor := lastReadTime
	for ctx.Err() == nil {
		ending := s.shouldEnd()
		request, err := s.nextRequest(ending, lookFor)
		lookFor = lastReadTime
		switch {
		case errors.Is(err, ErrNoRequest) && ending:
			return nil
		case errors.Is(err, ErrNoRequest):
			continue
		case err != nil:
			return s.endWithRefusal(err)
		}
		if err := s.handle(ctx, request); err != nil {
			return err
		}
		lookFor = behindReadTime
	}
	return nil
}

const (
	// lastReadTime is how long a session that ends looks for a request that arrived at the moment of the interrupt.
	lastReadTime = 5 * time.Millisecond
	// behindReadTime is how long it looks for a request that arrived behind one that it has answered; a caller that waits for each
	// answer needs longer for its next one, so that its session ends.
	behindReadTime = time.Millisecond
)

// configurationWait is how long a caller waits at a host that has just started: with a slow store the first configuration
// takes a few hundred milliseconds, and another host may already have one.
const configurationWait = 400 * time.Millisecond

// awaitConfiguration waits for a configuration that is as new as those of other hosts, and returns a refusal if none is known in time.
func (h *Host) awaitConfiguration(ctx context.Context) *model.Refusal {
	limit := time.Now().Add(configurationWait)
	for {
		changed := h.Loop.Changed()
		if d := h.view().Directory; d.Version > 0 && !(d.Keyed && h.startVersions.behind(d.Version)) {
			return nil
		}
		if waitChanged(ctx, changed, limit) {
			continue
		}
		if h.view().Directory.Version == 0 {
			return withRetryAfter(model.Refuse(model.CodeUnavailable, "the host has just started and knows no configuration"), configurationWait)
		}
		return nil
	}
}

// authorize returns the kind of work of the session's next operation, for which it sets the tenant, or a refusal if the kind or the
// key are not in force any more.
func (s *callerSession) authorize() (kind model.Kind, refusal *model.Refusal) {
	d := s.host.view().Directory
	if d.Version < s.leastVersion {
		return kind, model.Refuse(model.CodeStopping, "the host that keeps the connections has an older configuration")
	}
	kind, found := d.Kinds[s.kind]
	if !found {
		return kind, model.Refuse(model.CodeUnknownDatabase, "no kind of work has this name")
	}
	if s.relayed {
		return kind, nil // the host that passes the session on has checked the key
	}
	if d.Keyed && !kind.Public && s.host.startVersions.behind(d.Version) {
		return kind, withRetryAfter(model.Refuse(model.CodeUnavailable, "the host has just started and other hosts have newer API keys"), configurationWait)
	}
	tenant, allowed := d.Authorize(kind, s.key)
	if !allowed {
		return kind, model.Refuse(model.CodeUnauthorized, "no tenant has this API key")
	}
	if d.Keyed && !kind.Public && s.host.outdated() {
		return kind, model.Refuse(model.CodeUnavailable, "the host has had no word of the API keys in force for too long")
	}
	s.tenant = tenant
	return kind, nil
}

// outdated reports whether the host must not rely on the API keys that it knows, since it has had no word of the configuration for too
// long.
func (h *Host) outdated() bool {
	return h.Settings.RevokeStrict == settingOn && clock.Boot().Sub(model.Instant(h.configurationHeard.Load())) > h.Settings.RevokeLimit
}

// noteConfigurationHeard records that the configuration that the host knows was in force at a moment that is not before the given one.
func (h *Host) noteConfigurationHeard(at model.Instant) {
	for {
		known := h.configurationHeard.Load()
		if known >= int64(at) || h.configurationHeard.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// reject tells a caller why the session is not opened.
func (s *callerSession) reject(err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return s.caller.RejectSession(refusal)
	}
	return err
}

// endWithRefusal tells a caller why the session ends when its request could not be read.
func (s *callerSession) endWithRefusal(err error) error {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	s.host.counters.countRefusal(refusal.Code)
	if sendErr := s.caller.SendRefusal(refusal, s.state.Transaction); sendErr != nil {
		return sendErr
	}
	return err
}

// nextRequest waits for a request; a transaction that stays idle for too long is rolled back meanwhile. A session that ends only
// looks for one that has arrived, so that it isn't cut off without an answer.
func (s *callerSession) nextRequest(ending bool, lookFor time.Duration) (statement.Request, error) {
	s.waitingSince = time.Now()
	if ending {
		return s.lookForRequest(s.waitingSince.Add(lookFor))
	}
	limit := time.Time{}
	idle := s.host.view().Directory.TransactionIdleLimit
	if s.inTransaction() && idle > 0 {
		limit = s.waitingSince.Add(idle)
	}
	request, err := s.caller.ReadRequest(limit)
	if !errors.Is(err, ErrNoRequest) {
		return request, err
	}
	if s.inTransaction() && (s.host.terminating() || (!limit.IsZero() && !time.Now().Before(limit))) {
		reason := "idle for too long"
		if s.host.terminating() {
			reason = "the host is stopping"
		}
		s.abortTransaction(reason)
	}
	return request, err
}

// lookForRequest returns a request that has arrived at a session that ends. If there is none until the limit, an open transaction is
// rolled back.
func (s *callerSession) lookForRequest(limit time.Time) (statement.Request, error) {
	for {
		request, err := s.caller.ReadRequest(limit)
		if !errors.Is(err, ErrNoRequest) {
			return request, err
		}
		if time.Now().Before(limit) {
			continue // an interrupt, while the request may be arriving
		}
		if s.inTransaction() {
			s.abortTransaction("the host is stopping")
		}
		return request, err
	}
}

// shouldEnd reports whether the session must end: the host is stopping and either no transaction is open or time is up.
func (s *callerSession) shouldEnd() bool {
	return s.host.draining() && s.state.Transaction != statement.Open || s.host.terminating()
}

// inTransaction reports whether an instance holds a transaction of the session, here or through another host.
func (s *callerSession) inTransaction() bool { return s.tx != nil || s.remote != nil }

// abortTransaction rolls back the open transaction on the instance; the caller is told at its next request.
func (s *callerSession) abortTransaction(reason string) {
	if s.remote != nil {
		event.TransactionEnded(s.host.Logger, s.kind, s.remote.instance, model.Millis(time.Since(s.remote.begunAt)), reason)
	} else {
		event.TransactionEnded(s.host.Logger, s.kind, s.tx.backend.instance.ID, model.Millis(time.Since(s.tx.begunAt)), reason)
	}
	s.cleanUp()
	s.state.FailTransaction()
}

// cleanUp releases what the session holds.
func (s *callerSession) cleanUp() {
	if s.tx != nil {
		s.tx.rollback()
		s.tx = nil
	}
	s.endRemote()
}

// handle processes one request; an error ends the session.
func (s *callerSession) handle(ctx context.Context, request statement.Request) error {
	action, refusal := s.state.Decide(request.Statement)
	switch action {
	case session.AnswerLocally:
		return s.respondLocally(request)
	case session.RefuseRequest:
		return s.refuse(request, refusal)
	case session.RollBackTransaction:
		return s.rollback(refusal)
	case session.RunAutocommit:
		return s.runAutocommit(ctx, request)
	case session.CommitTransaction:
		return s.commit(ctx, request)
	default:
		return s.runInTransaction(ctx, request)
	}
}

// respondLocally responds to a request that needs no instance.
func (s *callerSession) respondLocally(request statement.Request) error {
	if request.Verb == statement.Begin || request.Verb == statement.BeginRead {
		policy, refusal := s.authorize()
		if refusal != nil {
			s.state.EndTransaction()
			return s.refuse(request, refusal)
		}
		s.policy, s.charged = policy, false
	}
	return s.caller.SendResponse(&statement.Response{}, s.state.Transaction)
}

// refuse sends a refusal to the caller and logs it.
func (s *callerSession) refuse(request statement.Request, refusal *model.Refusal) error {
	s.host.counters.countRefusal(refusal.Code)
	if refusal.Code != model.CodeInvalid {
		event.RequestRefused(s.host.Logger, request.ID, s.kind, refusal.Code, "", 0, refusal.Message)
	}
	return s.caller.SendRefusal(refusal, s.state.Transaction)
}

// rollback ends a transaction without its changes. It responds to the caller first, since the changes can no longer be committed.
func (s *callerSession) rollback(refusal *model.Refusal) (err error) {
	tx := s.tx
	s.tx = nil
	s.state.EndTransaction()
	if refusal != nil {
		err = s.caller.SendRefusal(refusal, statement.Idle)
	} else {
		err = s.caller.SendResponse(&statement.Response{}, statement.Idle)
	}
	if tx != nil {
		tx.rollback()
	}
	s.endRemote()
	return err
}

// primary returns what is known of the primary of a database.
func (h *Host) primary(database model.DatabaseID) controller.Primary {
	return h.view().Primaries[database]
}
