package dispatch

import (
	"context"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// maxAttempts is the number of attempts for work that the instance refuses as not run for lack of a slot or a connection.
const maxAttempts = 4

// Do queues the work and runs it; the error is a *model.Refusal that says whether the outcome is unknown.
func (d *Dispatcher) Do(ctx context.Context, term model.Term, work model.Work, class admit.Class) (result model.Result, state model.InstanceState, err error) {
	ctx, cancel := withDeadline(ctx, work.Deadline)
	defer cancel()
	for attempt := range maxAttempts {
		result, state, err = d.runOnce(ctx, term, work, class)
		if !retryable(err) || !d.backOff(ctx, attempt) {
			break
		}
	}
	return result, state, err
}

// runOnce queues the work and makes one attempt to run it on a pooled connection.
func (d *Dispatcher) runOnce(ctx context.Context, term model.Term, work model.Work, class admit.Class) (result model.Result, state model.InstanceState, err error) {
	class.InTransaction = false
	task, err := d.acquire(ctx, term, work.Deadline, class, nil)
	if err != nil {
		return result, state, err
	}
	result, state, err = task.conn.Run(ctx, term, work)
	d.finish(task, err)
	return result, state, asRefusal(err)
}

// finish ends a task and frees its slot; a connection outside a transaction goes back to the pool or is discarded.
func (d *Dispatcher) finish(task *Task, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settleCharge(task, err)
	if !task.ticket.Class.InTransaction {
		if connectionReusable(err) {
			d.pool.Put(task.conn)
		} else {
			d.pool.Discard(task.conn)
		}
	}
	if connectionUnknown(err) {
		d.pool.Clear()
	}
	d.freeSlot()
	task.conn = nil
	d.tasks.Put(task)
}

// settleCharge records and charges the slot time of work that ran, and charges nothing for work that did not.
func (d *Dispatcher) settleCharge(task *Task, err error) {
	if model.NotRun(err) {
		d.queue.Cancel(&task.ticket)
		return
	}
	now := d.Now()
	d.queue.Finish(now, &task.ticket, now.Sub(task.started))
}

// retryable reports whether the work did not run for lack of a slot or because the instance did not know the connection.
func retryable(err error) bool {
	code := model.CodeOf(err)
	return model.NotRun(err) && (code == model.CodeSlotsFull || code == model.CodeUnknownConnection)
}

// connectionUnknown reports whether the instance no longer knows the connection, for example after a restart.
func connectionUnknown(err error) bool {
	return model.CodeOf(err) == model.CodeUnknownConnection
}

// minBackoff is the delay before the second attempt; it doubles with each further one.
const minBackoff = time.Millisecond

// backOff waits before the next attempt; it returns false if the context ends.
func (d *Dispatcher) backOff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(minBackoff << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// withDeadline returns a context that ends at the deadline, if there is one.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}
