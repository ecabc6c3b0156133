package front

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/boundary"
	"redwingspread/internal/budget"
	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/holder"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/relay"
	"redwingspread/internal/scout"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// relayTextLimit is the size in bytes of a statement above which it is sent to the instance directly, so that it doesn't hold up the
// other sessions of the stream.
const relayTextLimit = 64 << 10

// remoteSession is a session, or a part of one, that another host serves.
type remoteSession struct {
	client   *relay.Client
	address  model.Address
	id       relay.SessionID
	backend  *backend         // for which the holder was chosen
	instance model.InstanceID // that responded last
	opened   bool             // the first call has been sent
	values   map[string]string
	begunAt  time.Time
}

// holder returns the address of a host that keeps connections to the target, if this host doesn't and has to share them with more
// hosts than there are connections.
func (e *execution) holder(t target) (address model.Address, found bool) {
	h := e.session.host
	if e.session.relayed || e.direct || len(e.request.Text) > relayTextLimit {
		return "", false
	}
	holders := h.view().Shares[t.backend.instance.ID].Holders
	if holders == nil {
		return "", false
	}
	var buffer [holder.MaxHosts]holder.Host
	order, sharing := holders.Order(buffer[:0], e.session.tenant, h.view().Directory.Weights.Part(e.session.tenant))
	if own := slices.IndexFunc(order, func(host holder.Host) bool { return host.ID == h.self.ID }); own >= 0 {
		order = order[:own] // this host stands in before the others behind it
		sharing = min(sharing, own)
	}
	address, found = e.reachableHolder(order[:sharing])
	if !found {
		address, found = e.reachableHolder(order[sharing:])
	}
	return address, found
}

// reachableHolder returns the address of the holder that takes the request, if one of them can be reached.
func (e *execution) reachableHolder(holders []holder.Host) (address model.Address, found bool) {
	relays, now := e.session.host.relays, time.Now()
	var buffer [holder.MaxHosts]placement.Holder
	states := buffer[:0]
	for _, candidate := range holders {
		state := placement.Holder(relays.State(now, candidate.Address))
		state.Reachable = state.Reachable && !e.unreached[candidate.Address]
		states = append(states, state)
	}
	index, connect := placement.ChooseHolder(states)
	if connect != placement.None {
		relays.Connect(holders[connect].Address) // no request waits for that
	}
	if index == placement.None {
		return "", false
	}
	return holders[index].Address, true
}

// noteRemote records that the instance responded to another host, which had been asked the given time before.
func (b *backend) noteRemote(now time.Time, kind model.KindID, took time.Duration, point model.Point) {
	b.mutex.Lock()
	b.remoteTimes.Observe(now, kind, took)
	b.mutex.Unlock()
	if point != (model.Point{}) {
		b.notePoint(clock.Boot(), point)
	}
}

// remoteService returns the expected time to an answer by way of another host.
func (b *backend) remoteService(now time.Time, kind model.KindID) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.remoteTimes.Expected(now, kind)
}

// newRemote returns a session at the host at the address, which keeps connections to the target.
func (s *callerSession) newRemote(t target, address model.Address) *remoteSession {
	return &remoteSession{client: s.host.relays, address: address, backend: t.backend, id: s.host.relays.NewSession(), begunAt: time.Now()}
}

// call passes a request on and waits for its reply.
func (r *remoteSession) call(ctx context.Context, e *execution, limit time.Time, last bool) (reply relay.Reply, err error) {
	now := time.Now()
	e.backend = r.backend
	state := e.session.state
	call := relay.Call{Session: r.id, Request: e.request, StartIn: e.startByAt(now, r.backend.remoteService(now, e.policy.ID), 0).Sub(now), Left: e.deadline.Sub(now), Last: last}
	if e.request.Verb == statement.Execute {
		call.Prepared = state.Prepared[e.request.Name]
	}
	if !r.opened || !maps.Equal(r.values, state.Values) {
		call.Values = maps.Clone(state.Values)
	}
	if !r.opened {
		call.Opening = &relay.Opening{
			Kind: e.session.kind, Version: e.version, Tenant: e.session.tenant, LastCommit: state.LastCommit,
			Transaction: state.Transaction == statement.Open, ReadOnly: state.ReadOnly,
		}
	}
	callCtx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	sent := clock.Boot()
	e.session.host.counters.Relayed.Add(1)
	reply, err = r.client.Call(callCtx, r.address, &call)
	r.opened = r.opened || !errors.Is(err, relay.ErrNotSent) // the holder may serve the session, also when no reply comes
	if err != nil {
		return reply, err
	}
	if call.Values != nil {
		r.values = call.Values
	}
	r.instance = reply.Instance
	if b := e.session.host.backend(reply.Instance); b != nil {
		b.noteRemote(time.Now(), e.policy.ID, time.Since(now), reply.Response.Point)
	} else if reply.Refusal != nil && reply.Refusal.Code != model.CodeBehind {
		r.backend.noteRemote(time.Now(), e.policy.ID, time.Since(now)+reply.Refusal.RetryAfter, model.Point{}) // the quick refusal of one that is behind tells nothing of its load
	}
	e.noteReply(&reply)
	e.noteReplicas(reply.Replicas)
	if reply.Led && reply.Response.Point != (model.Point{}) {
		e.session.host.observeProofs([]scout.Proof{{
			Database: e.policy.Database, Instance: reply.Instance, Point: reply.Response.Point, SentAt: sent,
		}})
	}
	return reply, nil
}

// noteReplicas records what a holder says of the replicas to which it keeps connections, for the placement of later reads.
func (e *execution) noteReplicas(replicas []relay.Replica) {
	now := clock.Boot()
	for _, replica := range replicas {
		if b := e.session.host.backend(replica.Instance); b != nil && b.instance.Database == e.policy.Database {
			b.noteFreshness(now, replica)
		}
	}
}

// heldReplicas returns what the host knows of the replicas of the session's database to which it keeps connections.
func (s *callerSession) heldReplicas() (replicas []relay.Replica) {
	view, now := s.host.view(), clock.Boot()
	database := view.Directory.Kinds[s.kind].Database
	rs := s.host.replicaSet(database)
	if rs == nil {
		return nil
	}
	for _, b := range rs.list() {
		id := b.instance.ID
		if id == view.Primaries[database].Instance || !view.Shares[id].KeepsConnections(s.host.self.ID) {
			continue
		}
		if replica := b.freshness(now); replica.Reached != (model.Point{}) || replica.Lag > 0 {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// end ends the session, whose open transaction is rolled back.
func (r *remoteSession) end() {
	if r.opened {
		r.client.End(r.address, r.id)
	}
}

// relayAutocommit passes a statement outside transactions on; it responds to the caller if that settles the request, and reports
// whether it did.
func (e *execution) relayAutocommit(ctx context.Context, t target, address model.Address) (done bool, err error) {
	s := e.session
	s.host.counters.placed.count(t.choice)
	remote := s.newRemote(t, address)
	reply, err := remote.call(ctx, e, e.responseDeadline(time.Now()), true)
	if err != nil {
		remote.end() // the holder gives up its place if it still waits
	}
	switch {
	case errors.Is(err, relay.ErrNotSent):
		return e.retryRelay(ctx, address, "the holder of the connections can't be reached")
	case err != nil && e.access == model.Write:
		refusal := model.OutcomeUnknown("the holder of the connections did not answer: %v", err)
		return true, s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	case err != nil:
		e.mayHaveRun = true
		e.allowRest()
		return e.retryRelay(ctx, address, "the holder of the connections did not answer")
	case reply.Refusal != nil && !reply.Refusal.NotRun && e.access == model.Read:
		e.mayHaveRun, e.direct = true, true // such as a response that is too large to be passed on
		e.allowRest()
		return e.retryRelay(ctx, address, reply.Refusal.Message)
	case mustAvoid(reply.Refusal, t):
		e.extendStart(reply.Refusal)
		return e.retryRelay(ctx, address, reply.Refusal.Message)
	case reply.Refusal != nil && reply.Refusal.Code == model.CodeBehind && e.mayTryOther(t):
		t.backend.noteBehind(clock.Boot(), t.minPoint)
		return e.retryRelay(ctx, "", reply.Refusal.Message)
	case reply.Refusal != nil && reply.Refusal.NotRun && !t.primary && e.mayTryOther(t) && e.takeRetry(ctx, reply.Refusal.Code):
		return e.retryRelay(ctx, address, reply.Refusal.Message)
	case reply.Refusal != nil:
		return true, s.caller.SendRefusal(e.recordRefusal(reply.Refusal), statement.Idle)
	case !reply.Response.Succeeded():
		return true, e.relayRefusal(&reply.Response)
	}
	if e.access == model.Write {
		s.state.RecordCommit(reply.Response.Point)
	}
	e.recordServed(false)
	return true, s.caller.SendResponse(&reply.Response, statement.Idle)
}

// mustAvoid reports whether a refusal says that nothing has run and that the holder can't serve the target: it stops, or believes in
// another primary.
func mustAvoid(refusal *model.Refusal, t target) bool {
	if refusal == nil || !refusal.NotRun {
		return false
	}
	return refusal.Code == model.CodeStopping || (refusal.Code == model.CodeBehind && t.primary)
}

// mayTryOther leaves the target out of further attempts and reports whether another instance is left.
func (e *execution) mayTryOther(t target) bool {
	e.exclude(t.backend)
	return e.hasCandidate()
}

// retryRelay leaves a holder out of further attempts and reports that the request isn't settled, unless its time is over.
func (e *execution) retryRelay(ctx context.Context, address model.Address, reason string) (done bool, err error) {
	e.avoidHolder(address)
	if e.prepareRetry(ctx, reason, 0) {
		return false, nil
	}
	return true, e.session.caller.SendRefusal(e.recordRefusal(model.Refuse(model.CodeUnavailable, "%s", reason)), statement.Idle)
}

// avoidHolder leaves a holder out of further attempts.
func (e *execution) avoidHolder(address model.Address) {
	if e.unreached == nil {
		e.unreached = make(map[model.Address]bool)
	}
	e.unreached[address] = true
}

// openRemote decides whether the transaction that begins with this statement runs at another host, which then becomes the session's.
func (e *execution) openRemote(ctx context.Context) *model.Refusal {
	e.startsTransaction = true
	e.readWrite = !e.session.state.ReadOnly
	t, refusal := e.chooseTarget(ctx)
	if refusal != nil {
		return refusal
	}
	if address, found := e.holder(t); found {
		e.session.host.counters.placed.count(t.choice)
		e.session.remote = e.session.newRemote(t, address)
	}
	return nil
}

// runRemote passes a statement of the session's transaction on and responds to the caller. It reports false if the transaction has
// not begun there and can begin elsewhere.
func (s *callerSession) runRemote(ctx context.Context, e *execution) (done bool, err error) {
	remote := s.remote
	first := !remote.opened
	reply, err := remote.call(ctx, e, e.deadline, false)
	if first && (errors.Is(err, relay.ErrNotSent) || (err == nil && mustAvoid(reply.Refusal, target{primary: true}))) {
		s.endRemote()
		e.avoidHolder(remote.address)
		e.extendStart(reply.Refusal)
		if e.prepareRetry(ctx, "the holder of the connections can't be reached or doesn't serve the instance", 0) {
			return false, nil
		}
	}
	if err != nil {
		s.endRemote()
		s.state.FailTransaction()
		refusal := model.Refuse(model.CodeTransactionEnded, "the holder of the transaction did not answer: %v", err)
		return true, s.caller.SendRefusal(e.recordRefusal(refusal), s.state.Transaction)
	}
	s.state.Wrote = s.state.Wrote || e.access == model.Write
	if reply.Refusal != nil {
		s.endRemote()
		s.state.FailTransaction()
		return true, s.caller.SendRefusal(e.recordRefusal(abortedBy(reply.Refusal, first)), s.state.Transaction)
	}
	if reply.Response.State != statement.Open {
		s.endRemote()
		s.state.FailTransaction()
	}
	if !reply.Response.Succeeded() {
		return true, e.relayRefusal(&reply.Response)
	}
	e.recordServed(false)
	return true, s.caller.SendResponse(&reply.Response, s.state.Transaction)
}

// abortedBy returns what the caller is told of a refusal by the holder that ends the transaction: nothing of it is kept, whatever
// became of the statement; and what ends the holder's session is not the caller's to wait for, unless the transaction had not begun.
func abortedBy(refusal *model.Refusal, first bool) *model.Refusal {
	if refusal.NotRun && (first || refusal.Code != model.CodeStopping) {
		return refusal
	}
	return model.Refuse(model.CodeTransactionEnded, "the holder of the transaction ended it: %s", refusal.Message)
}

// commitRemote commits the session's transaction at the host that serves it and responds to the caller.
func (s *callerSession) commitRemote(ctx context.Context, e *execution) error {
	remote, wrote := s.remote, s.state.Wrote
	s.remote = nil
	reply, err := remote.call(ctx, e, e.deadline, true)
	s.state.EndTransaction()
	switch {
	case errors.Is(err, relay.ErrNotSent):
		remote.end()
		refusal := model.Refuse(model.CodeTransactionEnded, "the holder of the transaction can't be reached: %v", err)
		return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	case err != nil: // the session ends with the commit, which may be in progress
		refusal := model.Refuse(model.CodeTransactionEnded, "the holder of the transaction did not answer the commit: %v", err)
		if wrote {
			refusal = model.OutcomeUnknown("the holder of the transaction did not answer the commit: %v", err)
		}
		return s.caller.SendRefusal(e.recordRefusal(refusal), statement.Idle)
	case reply.Refusal != nil && !reply.Refusal.NotRun && wrote:
		return s.caller.SendRefusal(e.recordRefusal(reply.Refusal), statement.Idle)
	case reply.Refusal != nil:
		return s.caller.SendRefusal(e.recordRefusal(abortedBy(reply.Refusal, false)), statement.Idle)
	case !reply.Response.Succeeded():
		return e.relayRefusal(&reply.Response)
	}
	if wrote {
		s.state.RecordCommit(reply.Response.Point)
	}
	e.recordServed(false)
	return s.caller.SendResponse(&reply.Response, statement.Idle)
}

// endRemote ends the session's part at another host.
func (s *callerSession) endRemote() {
	if s.remote != nil {
		s.remote.end()
		s.remote = nil
	}
}

// serveRelayed serves a session that another host passes on.
func (h *Host) serveRelayed(ctx context.Context, passed relay.Session) {
	caller := &relayedCaller{session: passed, interrupts: make(chan struct{}, 1)}
	s := &callerSession{host: h, caller: caller, id: h.newSessionID(), state: session.NewSession(), relayed: true, leastVersion: passed.Opening.Version, tenant: passed.Opening.Tenant}
	caller.owner = s
	s.state.Room.Init(h.Memory, budget.State, stateReserve)
	defer s.state.Room.Close()
	h.addSession(s)
	err := boundary.Run(func() error { return s.serve(ctx) })
	if errors.Is(err, boundary.ErrPanic) {
		event.PanicCaught(h.Logger, "relayed session", err)
	}
	h.removeSession(s)
	caller.refuseRest()
}

// relayedCaller is the caller of a session that another host passes on.
type relayedCaller struct {
	session    relay.Session
	owner      *callerSession
	interrupts chan struct{}
	access     model.Access // of the newest call
	unanswered bool         // the newest call has no reply yet
	last       bool         // the session ends with the reply to it
	early      *relay.Call  // received before the reply to the one before; nil for none
}

// ReadStart returns what the session is for. The host that passes it on has checked the key.
func (c *relayedCaller) ReadStart() (Start, error) {
	opening, state := c.session.Opening, c.owner.state
	if opening.Transaction {
		state.Transaction = statement.Open
		state.ReadOnly = opening.ReadOnly
	}
	state.LastCommit = opening.LastCommit
	return Start{Kind: opening.Kind}, nil
}

// AcceptSession does nothing: the caller has been told.
func (c *relayedCaller) AcceptSession() error { return nil }

// ReadRequest waits for a call until the limit; a zero limit waits forever.
func (c *relayedCaller) ReadRequest(limit time.Time) (request statement.Request, err error) {
	if c.last {
		return request, ErrClosed
	}
	if call := c.early; call != nil {
		c.early = nil
		return c.accept(call)
	}
	var timeout <-chan time.Time
	if !limit.IsZero() {
		timer := time.NewTimer(time.Until(limit))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case call, open := <-c.session.Calls:
		if !open {
			return request, ErrClosed
		}
		return c.accept(&call)
	case <-c.interrupts:
	case <-timeout:
	}
	return request, ErrNoRequest
}

// accept makes a call the newest one and returns its request, or a refusal if there is no memory for what it brings.
func (c *relayedCaller) accept(call *relay.Call) (request statement.Request, err error) {
	c.unanswered, c.last = true, call.Last
	if refusal := c.apply(call); refusal != nil {
		c.last = true
		return request, refusal
	}
	return call.Request, nil
}

// AwaitClose waits until the other host ends the session, or its stream ends, and returns false if the context ends first.
func (c *relayedCaller) AwaitClose(ctx context.Context) (closed bool) {
	select {
	case call, open := <-c.session.Calls:
		if !open {
			return true
		}
		c.early = &call
		<-ctx.Done()
	case <-ctx.Done():
	}
	return false
}

// apply brings the session's values and the prepared statement of the call to this host, or refuses if there is no memory for them.
func (c *relayedCaller) apply(call *relay.Call) *model.Refusal {
	state := c.owner.state
	values, prepared := state.Values, state.Prepared
	if call.Values != nil {
		values = call.Values
	}
	if call.Request.Verb == statement.Execute {
		prepared = map[string]statement.Prepared{call.Request.Name: call.Prepared}
	}
	if call.Values != nil || call.Request.Verb == statement.Execute {
		if refusal := state.Replace(values, prepared); refusal != nil {
			return refusal
		}
	}
	c.owner.failing = ""
	now := time.Now()
	c.owner.startLimit, c.owner.responseLimit = now.Add(call.StartIn), now.Add(call.Left)
	c.access = state.Access(call.Request.Statement)
	return nil
}

// SendResponse sends the reply to the newest call.
func (c *relayedCaller) SendResponse(response *statement.Response, state statement.State) error {
	defer response.Release()
	if response.Room != nil && response.Room.Resize(model.Bytes(relay.ReplyCopies*response.Size())) != nil {
		response.Release()
		refusal := model.OutcomeUnknown("the host has no memory left for the response")
		if c.access == model.Read {
			refusal = refuseNoRoom()
		}
		return c.send(&relay.Reply{Refusal: refusal, Response: statement.Response{State: state}})
	}
	reply := &relay.Reply{Response: *response}
	reply.Response.State = state
	reply.Instance, reply.Led = c.owner.servedBy, response.Succeeded() && c.owner.servedByPrimary
	return c.send(reply)
}

// SendRefusal sends a refusal of the newest call.
func (c *relayedCaller) SendRefusal(refusal *model.Refusal, state statement.State) error {
	return c.send(&relay.Reply{Refusal: refusal, Response: statement.Response{State: state}})
}

// RejectSession refuses the first call.
func (c *relayedCaller) RejectSession(refusal *model.Refusal) error {
	c.last = true
	<-c.session.Calls
	return c.send(&relay.Reply{Refusal: refusal})
}

// send sends a reply.
func (c *relayedCaller) send(reply *relay.Reply) error {
	c.unanswered = false
	reply.Failing, reply.Replicas = c.owner.failing, c.owner.heldReplicas()
	return c.session.Reply(reply)
}

// refuseRest replies to the calls that the session has not answered: one that was read has an unknown outcome, others have not run.
func (c *relayedCaller) refuseRest() {
	if c.unanswered {
		_ = c.SendRefusal(model.OutcomeUnknown("the session ended"), statement.Idle) // fails only when the stream has ended
	}
	early := c.early != nil
	select {
	case _, open := <-c.session.Calls:
		early = early || open
	default:
	}
	if early {
		_ = c.SendRefusal(model.Refuse(model.CodeStopping, "the host stops"), statement.Idle) // as above
	}
}

// Interrupt makes a pending ReadRequest return ErrNoRequest.
func (c *relayedCaller) Interrupt() {
	select {
	case c.interrupts <- struct{}{}:
	default:
	}
}

// StalledSince reports that the other host owes nothing: it passes whole messages on.
func (c *relayedCaller) StalledSince() (since time.Time, stalled bool) { return since, false }

// Close does nothing: the stream belongs to all sessions of the other host.
func (c *relayedCaller) Close() error { return nil }
