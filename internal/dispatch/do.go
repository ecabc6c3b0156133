package dispatch

import (
	"context"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// attempts is how often work is started that the instance refused as not run for want of a slot or a connection.
const attempts = 4

// Do waits for the work's turn and runs it; the error is a *model.Refusal that tells whether the effect is unknown.
func (d *Dispatcher) Do(ctx context.Context, term model.Term, work model.Work, class admit.Class) (result model.Result, state model.InstanceState, err error) {
	ctx, cancel := limit(ctx, work.Deadline)
	defer cancel()
	for attempt := range attempts {
		result, state, err = d.once(ctx, term, work, class)
		if !transient(err) || !d.pause(ctx, attempt) {
			break
		}
	}
	return result, state, err
}

// once waits for one turn and runs the work on a pooled connection.
func (d *Dispatcher) once(ctx context.Context, term model.Term, work model.Work, class admit.Class) (result model.Result, state model.InstanceState, err error) {
	class.InTransaction = false
	turn, err := d.await(ctx, term, work.Deadline, class, nil)
	if err != nil {
		return result, state, err
	}
	result, state, err = turn.conn.Run(ctx, term, work)
	d.finish(turn, err)
	return result, state, certain(err)
}

// finish ends a turn: its slot is free, and its connection goes back to the pool or is closed.
func (d *Dispatcher) finish(turn *Turn, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.settle(turn, err)
	if !turn.ticket.Class.InTransaction {
		if sound(err) {
			d.pool.Put(turn.conn)
		} else {
			d.pool.Discard(turn.conn)
		}
	}
	if forgotten(err) {
		d.pool.Clear()
	}
	d.release()
	turn.conn = nil
	d.turns.Put(turn)
}

// settle learns the slot time of work that ran, and charges nothing for work that did not.
func (d *Dispatcher) settle(turn *Turn, err error) {
	if model.NotRun(err) {
		d.queue.Cancel(&turn.ticket)
		return
	}
	now := d.Now()
	d.queue.Finish(now, &turn.ticket, now.Sub(turn.started))
}

// transient reports whether the work did not run for want of a slot or because its connection was gone.
func transient(err error) bool {
	code := model.CodeOf(err)
	return model.NotRun(err) && (code == model.CodeSlotsFull || code == model.CodeUnknownConnection)
}

// forgotten reports whether the instance no longer knows a connection, as after its restart.
func forgotten(err error) bool {
	return model.CodeOf(err) == model.CodeUnknownConnection
}

// leastPause is the wait before the second attempt; it doubles from then on.
const leastPause = time.Millisecond

// pause waits before the next attempt and reports false when the context ends.
func (d *Dispatcher) pause(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(leastPause << attempt)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// limit returns a context that ends at the deadline, when there is one.
func limit(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}
