package dispatch

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// Task is one piece of work from queueing to completion.
type Task struct {
	ticket        admit.Ticket[*Task]
	conn          endpoint.Conn       // set before the wait within a transaction, else when the work is started
	started       time.Time           // when the work got its slot
	waitingForPin bool                // whether a transaction waits to pin a connection
	decision      chan *model.Refusal // receives nil when the wait succeeds, else a refusal
}

// newTask returns a task for Dispatcher.tasks.
func newTask() any {
	t := &Task{decision: make(chan *model.Refusal, 1)}
	t.ticket.Value = t
	return t
}

// acquire waits for a slot and returns a task that may run; conn is the connection of a transaction, or nil to use one of
// the pool.
func (d *Dispatcher) acquire(ctx context.Context, term model.Term, deadline time.Time, class admit.Class, conn endpoint.Conn) (_ *Task, err error) {
	if ctx.Err() != nil {
		return nil, model.Refuse(waitEndCode(ctx), "the request ended before its turn")
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

// enqueue queues the task and starts the work that can start.
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

// awaitDecision returns nil once the work may run, or a refusal.
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

// waitEndCode returns the refusal code for a wait that ended early: by its deadline, or by cancellation of the context, for
// example after a change of the primary, when the work may be retried.
func waitEndCode(ctx context.Context) model.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return model.CodeUnavailable
	}
	return model.CodeDeadline
}

// deadlineTimer returns a channel that fires at the deadline of the task, or nil if it has none, and a function that stops
// the timer.
func (d *Dispatcher) deadlineTimer(task *Task) (<-chan time.Time, func() bool) {
	if task.ticket.Deadline.IsZero() {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(task.ticket.Deadline.Sub(d.Now()))
	return timer.C, timer.Stop
}

// cancelWait ends the wait for a slot with the code; a slot granted meanwhile is returned unused.
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

// freeSlot frees a slot and starts waiting work.
func (d *Dispatcher) freeSlot() {
	d.running--
	d.schedule()
	d.checkDrained()
}

// refusalCode returns the code of the refusal for a verdict.
func refusalCode(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// connectionReusable reports whether a connection can be used again after a call that returned the error, that is whether
// no answer is outstanding and the connection still exists.
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

// asRefusal returns the error if it is a refusal, else a refusal with unknown outcome.
func asRefusal(err error) error {
	if err == nil {
		return nil
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return model.OutcomeUnknown("the answer stayed away: %v", err)
}
