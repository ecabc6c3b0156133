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
// Calls must not overlap, except that Close may be called at any time. The lock of the dispatcher guards the state.
type Transaction struct {
	dispatcher     *Dispatcher
	conn           endpoint.Conn
	term           model.Term
	class          admit.Class
	busy           bool // whether a call runs
	broken         bool // whether the connection must be closed at the end
	closeAfterCall bool // whether the transaction ends with the call that runs
	ended          bool
}

// Begin waits for a connection and a slot, and begins a transaction on that connection.
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

// track records an open transaction so that stop ends it; if the dispatcher is stopping already, it ends it at once.
func (d *Dispatcher) track(transaction *Transaction) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.transactions[transaction] = struct{}{}
	if d.stopping {
		transaction.closeLocked()
	}
}

// finishBegin ends the task of a begin; the connection stays pinned if the begin succeeded.
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

// Commit commits the transaction under the request ID and ends it; if that fails, its connection is closed, which rolls
// back whatever was not committed.
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

// Rollback rolls the transaction back and ends it; if that fails, its connection is closed, which rolls back too.
func (t *Transaction) Rollback(ctx context.Context) error {
	if err := t.beginCall(); err != nil {
		return err
	}
	err := t.conn.Rollback(ctx)
	t.endCall(err == nil)
	t.end()
	return nil
}

// Close ends the transaction by closing its connection once no call runs; it does nothing if the transaction has ended.
func (t *Transaction) Close() {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.closeLocked()
}

// call waits for a slot and makes one call on the connection of the transaction.
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

// beginCall marks the transaction as busy; it returns a refusal if the transaction has ended or a call runs.
func (t *Transaction) beginCall() error {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	if t.ended || t.broken || t.busy {
		return model.Refuse(model.CodeTransactionEnded, "the transaction has ended")
	}
	t.busy = true
	return nil
}

// endCall marks the end of a call, after which the connection may be reusable; it ends a transaction that was closed
// meanwhile or whose dispatcher is stopping.
func (t *Transaction) endCall(reusable bool) {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.busy = false
	t.broken = t.broken || !reusable
	if t.closeAfterCall || t.dispatcher.stopping {
		t.closeLocked()
	}
}

// closeLocked ends the transaction by closing its connection, immediately or after the call that runs; the caller holds
// the lock.
func (t *Transaction) closeLocked() {
	t.broken = true
	if t.busy {
		t.closeAfterCall = true
		return
	}
	t.endLocked()
}

// end ends a transaction on which no call runs.
func (t *Transaction) end() {
	t.dispatcher.mutex.Lock()
	defer t.dispatcher.mutex.Unlock()
	t.endLocked()
}

// endLocked ends the transaction and returns its connection to the pool, or discards a broken one; the caller holds the
// lock.
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
