package dispatch

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// Task is one piece of work from its wait to its end.
type Task struct {
	ticket        admit.Ticket[*Task]
	conn          endpoint.Conn // set before the wait within a transaction
	started       time.Time
	waitingForPin bool                // waits for a connection to hold
	decision      chan *model.Refusal // nil is sent when the turn has come
}

// newTask returns a turn for the dispatcher's stock of ended d.turns.
func newTask() any {
	t := &Task{decision: make(chan *model.Refusal, 1)}
	t.ticket.Value = t
	return t
}

// acquire waits for a turn; the connection is the transaction's, or nil to get one of the pool.
func (d *Dispatcher) acquire(ctx context.Context, term model.Term, deadline time.Time, class admit.Class, conn endpoint.Conn) (_ *Task, err error) {
	if ctx.Err() != nil {
		return nil, model.Refuse(waitEndCode(ctx), "the request ended before its task")
	}
	if !class.Rank.Valid() {
		return nil, model.Refuse(model.CodeInvalid, "unknown rank %d", class.Rank)
	}
	task := d.tasks.Get().(*Task)
	task.conn = conn
	task.ticket.Class = class
	task.ticket.Deadline = deadline
	if refusal := d.enqueue(term, task); refusal != nil {
		d.tasks.Put(task)
		return nil, refusal
	}
	refusal := d.awaitDecision(ctx, task)
	if refusal != nil {
		d.tasks.Put(task)
		return nil, refusal
	}
	return task, nil
}

// enqueue puts the turn into the queue and starts what can start.
func (d *Dispatcher) enqueue(term model.Term, task *Task) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.applySettings()
	if d.stopping && !task.ticket.Class.InTransaction {
		return d.refusal(model.CodeStopping)
	}
	if term > d.term {
		d.term = term
		d.updatePoolTarget()
	}
	verdict, evicted, evictedVerdict := d.queue.Offer(d.Now(), &task.ticket)
	if evicted != nil {
		d.refuse(evicted, refusalCode(evictedVerdict))
	}
	if verdict != admit.Wait {
		return d.refusal(refusalCode(verdict))
	}
	d.schedule()
	return nil
}

// awaitDecision returns nil when the turn has come, and a refusal when it won't come in time.
func (d *Dispatcher) awaitDecision(ctx context.Context, task *Task) *model.Refusal {
	select {
	case refusal := <-task.decision:
		return refusal
	default:
	}
	timeout, stop := d.deadlineTimer(task)
	defer stop()
	select {
	case refusal := <-task.decision:
		return refusal
	case <-ctx.Done():
	case <-timeout:
	}
	return d.cancelWait(task, waitEndCode(ctx))
}

// waitEndCode returns why a wait ended: its time is over, or its context was cancelled, as by a change of the primary, after
// which the work may be tried again.
func waitEndCode(ctx context.Context) model.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return model.CodeUnavailable
	}
	return model.CodeDeadline
}

// deadlineTimer returns a channel that fires when the turn can no longer end before its deadline.
func (d *Dispatcher) deadlineTimer(task *Task) (<-chan time.Time, func() bool) {
	if task.ticket.Deadline.IsZero() {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(task.ticket.Deadline.Sub(d.Now()))
	return timer.C, timer.Stop
}

// cancelWait ends a wait from the caller's side with the code; a turn that has just come is given back unused.
func (d *Dispatcher) cancelWait(task *Task, code model.Code) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.queue.Withdraw(d.Now(), &task.ticket) {
		return d.refusal(code)
	}
	if refusal := <-task.decision; refusal != nil {
		return refusal
	}
	d.queue.Cancel(&task.ticket)
	if !task.ticket.Class.InTransaction {
		d.pool.Put(task.conn)
	}
	d.freeSlot()
	return d.refusal(code)
}

// freeSlot frees a slot and starts what waits for it.
func (d *Dispatcher) freeSlot() {
	d.running--
	d.schedule()
	d.checkDrained()
}

// refusalCode returns the reason of the refusal that follows from a verdict.
func refusalCode(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// connectionReusable reports whether a connection has no answer outstanding after a call that ended with the error.
func connectionReusable(err error) bool {
	if err == nil {
		return true
	}
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	return refusal.NotRun && refusal.Code != model.CodeUnknownConnection && refusal.Code != model.CodeUnavailable
}

// asRefusal returns the refusal in the error, or one of unknown outcome.
func asRefusal(err error) error {
	if err == nil {
		return nil
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return model.Doubt("the answer stayed away: %v", err)
}
