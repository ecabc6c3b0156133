package dispatch

import (
	"context"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// Transaction holds one connection from begin to end, and a slot only while a statement runs.
//
// One call runs at a time; Close may be called meanwhile. The dispatcher's lock guards the state.
type Transaction struct {
	dispatcher     *Dispatcher
	conn           endpoint.Conn
	term           model.Term
	class          admit.Class
	busy           bool // a call runs
	broken         bool // the connection is closed at the end
	closeAfterCall bool // the transaction ends with the call that runs
	ended          bool
}

// Begin waits for its turn and begins a transaction on a connection of its own.
func (d *Dispatcher) Begin(ctx context.Context, term model.Term, work model.Work, class admit.Class) (transaction *Transaction, err error) {
	ctx, cancel := withDeadline(ctx, work.Deadline)
	defer cancel()
	class.InTransaction = false
	if err := d.pin(ctx, class); err != nil {
		return nil, err
	}
	task, err := d.acquire(ctx, term, work.Deadline, class, nil)
	if err != nil {
		d.unpin()
		return nil, err
	}
	conn := task.conn
	_, err = conn.Begin(ctx, term)
	d.finishBegin(task, err)
	if err != nil {
		return nil, asRefusal(err)
	}
	class.InTransaction = true
	transaction = &Transaction{dispatcher: d, conn: conn, term: term, class: class}
	d.track(transaction)
	return transaction, nil
}

// track remembers an open transaction, which a stop ends.
func (d *Dispatcher) track(transaction *Transaction) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.transactions[transaction] = struct{}{}
	if d.stopping {
		transaction.closeLocked()
	}
}

// finishBegin frees the slot of a begin and keeps its connection pinned when it succeeded.
func (d *Dispatcher) finishBegin(task *Task, err error) {
	if err != nil {
		d.finish(task, err)
		d.unpin()
		return
	}
	task.ticket.Class.InTransaction = true
	d.finish(task, nil)
}

// Run runs one statement of the transaction.
func (t *Transaction) Run(ctx context.Context, work model.Work) (result model.Result, state model.InstanceState, err error) {
	return t.call(ctx, work.Deadline, func(ctx context.Context) (model.Result, model.InstanceState, error) {
		return t.conn.Run(ctx, t.term, work)
	})
}

// Commit commits the transaction under the request id and ends it, whatever the outcome; what was not committed is rolled back.
func (t *Transaction) Commit(ctx context.Context, request model.RequestID, deadline time.Time) (result model.Result, state model.InstanceState, err error) {
	result, state, err = t.call(ctx, deadline, func(ctx context.Context) (model.Result, model.InstanceState, error) {
		return t.conn.Commit(ctx, t.term, request)
	})
	if err != nil {
		t.Close()
		return result, state, err
	}
	t.end()
	return result, state, nil
}

// Rollback rolls the transaction back and ends it; a connection that does not answer is closed, which rolls back too.
func (t *Transaction) Rollback(ctx context.Context) error {
	if err := t.beginCall(); err != nil {
		return err
	}
	err := t.conn.Rollback(ctx)
	t.endCall(err == nil)
	t.end()
	return nil
}

// Close ends the transaction, if it has not ended, by closing its connection once no call runs; it may be called more than once.
func (t *Transaction) Close() {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.closeLocked()
}

// call waits for a turn and makes one call on the transaction's connection.
func (t *Transaction) call(ctx context.Context, deadline time.Time, run func(context.Context) (model.Result, model.InstanceState, error)) (result model.Result, state model.InstanceState, err error) {
	if err := t.beginCall(); err != nil {
		return result, state, err
	}
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	task, err := t.dispatcher.acquire(ctx, t.term, deadline, t.class, t.conn)
	if err != nil {
		t.endCall(true)
		return result, state, err
	}
	result, state, err = run(ctx)
	t.dispatcher.finish(task, err)
	t.endCall(connectionReusable(err))
	return result, state, asRefusal(err)
}

// beginCall marks the transaction as busy, or refuses when it has ended.
func (t *Transaction) beginCall() error {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	if t.ended || t.broken || t.busy {
		return model.Refuse(model.CodeTransactionEnded, "the transaction has ended")
	}
	t.busy = true
	return nil
}

// endCall marks the end of a call, and ends the transaction that was closed meanwhile.
func (t *Transaction) endCall(sound bool) {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.busy = false
	t.broken = t.broken || !sound
	if t.closeAfterCall || t.dispatcher.stopping {
		t.closeLocked()
	}
}

// closeLocked ends the transaction by closing its connection, at once or after the call that runs; the caller holds the lock.
func (t *Transaction) closeLocked() {
	t.broken = true
	if t.busy {
		t.closeAfterCall = true
		return
	}
	t.endLocked()
}

// end ends a transaction in which no call runs.
func (t *Transaction) end() {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.endLocked()
}

// endLocked gives the connection back, or has it closed when it is broken; the caller holds the lock.
func (t *Transaction) endLocked() {
	if t.ended {
		return
	}
	t.ended = true
	d := t.dispatcher
	delete(d.transactions, t)
	if t.broken {
		d.pool.Discard(t.conn)
	} else {
		d.pool.Put(t.conn)
	}
	d.unpinLocked()
}
