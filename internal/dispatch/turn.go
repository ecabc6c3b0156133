package dispatch

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// Turn is one piece of work from its wait to its end.
type Turn struct {
	ticket  admit.Ticket[*Turn]
	conn    endpoint.Conn // set before the wait within a transaction
	started time.Time
	pinning bool                // waits for a connection to hold
	ready   chan *model.Refusal // nil is sent when the turn has come
}

// newTurn returns a turn for the dispatcher's stock of ended d.turns.
func newTurn() any {
	t := &Turn{ready: make(chan *model.Refusal, 1)}
	t.ticket.Value = t
	return t
}

// await waits for a turn; the connection is the transaction's, or nil to get one of the pool.
func (d *Dispatcher) await(ctx context.Context, term model.Term, deadline time.Time, class admit.Class, conn endpoint.Conn) (_ *Turn, err error) {
	if ctx.Err() != nil {
		return nil, model.Refuse(cause(ctx), "the request ended before its turn")
	}
	if !class.Rank.Valid() {
		return nil, model.Refuse(model.CodeInvalid, "unknown rank %d", class.Rank)
	}
	turn := d.turns.Get().(*Turn)
	turn.conn = conn
	turn.ticket.Class = class
	turn.ticket.Deadline = deadline
	if refusal := d.offer(term, turn); refusal != nil {
		d.turns.Put(turn)
		return nil, refusal
	}
	refusal := d.wait(ctx, turn)
	if refusal != nil {
		d.turns.Put(turn)
		return nil, refusal
	}
	return turn, nil
}

// offer puts the turn into the queue and starts what can start.
func (d *Dispatcher) offer(term model.Term, turn *Turn) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.begin()
	if d.stopping && !turn.ticket.Class.InTransaction {
		return d.refusal(model.CodeStopping)
	}
	if term > d.term {
		d.term = term
		d.fill()
	}
	verdict, out, outVerdict := d.queue.Offer(d.Now(), &turn.ticket)
	if out != nil {
		d.refuse(out, code(outVerdict))
	}
	if verdict != admit.Wait {
		return d.refusal(code(verdict))
	}
	d.schedule()
	return nil
}

// wait returns nil when the turn has come, and a refusal when it won't come in time.
func (d *Dispatcher) wait(ctx context.Context, turn *Turn) *model.Refusal {
	select {
	case refusal := <-turn.ready:
		return refusal
	default:
	}
	timeout, stop := d.timeout(turn)
	defer stop()
	select {
	case refusal := <-turn.ready:
		return refusal
	case <-ctx.Done():
	case <-timeout:
	}
	return d.withdraw(turn, cause(ctx))
}

// cause returns why a wait ended: its time is over, or its context was cancelled, as by a change of the primary, after
// which the work may be tried again.
func cause(ctx context.Context) model.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return model.CodeUnavailable
	}
	return model.CodeDeadline
}

// timeout returns a channel that fires when the turn can no longer end before its deadline.
func (d *Dispatcher) timeout(turn *Turn) (<-chan time.Time, func() bool) {
	if turn.ticket.Deadline.IsZero() {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(turn.ticket.Deadline.Sub(d.Now()))
	return timer.C, timer.Stop
}

// withdraw ends a wait from the caller's side with the code; a turn that has just come is given back unused.
func (d *Dispatcher) withdraw(turn *Turn, code model.Code) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.queue.Withdraw(d.Now(), &turn.ticket) {
		return d.refusal(code)
	}
	if refusal := <-turn.ready; refusal != nil {
		return refusal
	}
	d.queue.Cancel(&turn.ticket)
	if !turn.ticket.Class.InTransaction {
		d.pool.Put(turn.conn)
	}
	d.release()
	return d.refusal(code)
}

// release frees a slot and starts what waits for it.
func (d *Dispatcher) release() {
	d.used--
	d.schedule()
	d.checkIdle()
}

// code returns the reason of the refusal that follows from a verdict.
func code(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// sound reports whether a connection has no answer outstanding after a call that ended with the error.
func sound(err error) bool {
	if err == nil {
		return true
	}
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	return refusal.NotRun && refusal.Code != model.CodeUnknownConnection && refusal.Code != model.CodeUnavailable
}

// certain returns the refusal in the error, or one of unknown outcome.
func certain(err error) error {
	if err == nil {
		return nil
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return model.OutcomeUnknown("the answer stayed away: %v", err)
}
