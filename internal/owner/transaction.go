package owner

import (
	"context"
	"time"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/model"
	"redwingspread/internal/transaction"
	"redwingspread/internal/view"
)

// sweepPause is the time between two looks for transactions that are past their time.
const sweepPause = 100 * time.Millisecond

// pinned is a transaction on a connection of the primary.
type pinned struct {
	transaction *dispatch.Transaction
	database    *view.Database
	durability  model.Durability
}

// Begin begins a transaction on a connection of the primary, which it keeps to its end.
func (e *Executor) Begin(ctx context.Context, work model.Work) (model.Result, error) {
	if e.draining.Load() {
		return model.Result{}, model.Refuse(model.CodeStopping, "host %q is stopping", e.Host.ID)
	}
	effective, err := e.policy(work)
	if err != nil {
		return model.Result{}, err
	}
	database, primary, err := e.leader(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	begun, err := e.Instances.Dispatcher(*primary).Begin(ctx, database.Term, work, class(work, effective))
	if err != nil {
		e.learn(database, primary.ID, err)
		return model.Result{}, withoutEffect(err)
	}
	id := transaction.NewID(work.Database, e.Host.ID)
	e.transactions.Add(&transaction.Open[*pinned]{
		ID:          id,
		Database:    work.Database,
		Origin:      work.Origin,
		IdleTimeout: effective.TransactionIdle,
		MaxDuration: effective.TransactionLimit,
		Resource:    &pinned{transaction: begun, database: database, durability: effective.Durability},
	})
	result := model.Result{Request: work.Request, Done: true, Transaction: id, Instance: primary.ID, Role: model.RolePrimary}
	result.Durability = model.DurabilityNone
	return stamp(database, result), nil
}

// executeIn runs a statement within its transaction, which ends when the answer stays away.
func (e *Executor) executeIn(ctx context.Context, work model.Work) (model.Result, error) {
	open, err := e.transactions.Acquire(work.Transaction)
	if err != nil {
		return model.Result{}, err
	}
	result, state, err := open.Resource.transaction.Run(ctx, work)
	if err != nil && !model.NotRun(err) {
		e.end(open)
		return model.Result{}, err
	}
	e.transactions.Release(open)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	result.Durability = model.DurabilityNone
	return stamp(open.Resource.database, result), nil
}

// Commit commits the work's transaction and acknowledges it once it is durable; a repeat returns the recorded outcome.
func (e *Executor) Commit(ctx context.Context, work model.Work) (model.Result, error) {
	key := flightKey{database: work.Database, request: work.Request}
	return e.flights.do(ctx, key, func() (model.Result, error) {
		if _, closed := e.closed.Get(key); closed {
			return e.committed(ctx, work)
		}
		open, err := e.transactions.Acquire(work.Transaction)
		if model.CodeOf(err) == model.CodeTransactionEnded {
			return e.committed(ctx, work)
		}
		if err != nil {
			return model.Result{}, err
		}
		return e.commit(ctx, work, open)
	})
}

// commit commits an open transaction.
func (e *Executor) commit(ctx context.Context, work model.Work, open *transaction.Open[*pinned]) (model.Result, error) {
	pinned := open.Resource
	result, state, err := pinned.transaction.Commit(ctx, work.Request, work.Deadline)
	e.end(open)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	e.track(work.Database).Add(result.Point, e.Now())
	return e.settle(ctx, pinned.database, stamp(pinned.database, result), pinned.durability)
}

// committed returns the recorded outcome of a commit whose transaction is not open any more.
func (e *Executor) committed(ctx context.Context, work model.Work) (model.Result, error) {
	result, err := e.recorded(ctx, work)
	switch {
	case err == nil || !model.NotRun(err):
		return result, err
	case model.CodeOf(err) == model.CodeNotFound:
		return model.Result{}, model.Refuse(model.CodeTransactionEnded, "transaction %q ended without a commit", work.Transaction)
	default:
		return model.Result{}, model.Doubt("the commit of %q could not be resolved: %v", work.Transaction, err)
	}
}

// Rollback rolls the work's transaction back.
func (e *Executor) Rollback(ctx context.Context, work model.Work) error {
	open, err := e.transactions.Acquire(work.Transaction)
	if err != nil {
		return err
	}
	e.transactions.Remove(open)
	return open.Resource.transaction.Rollback(ctx)
}

// end takes a transaction out and closes its connection when it is still open.
func (e *Executor) end(open *transaction.Open[*pinned]) {
	e.transactions.Remove(open)
	open.Resource.transaction.Close()
}

// Run ends transactions that are past their time, whose proxy is dead or whose database moved, until the context ends.
func (e *Executor) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.sweep()
		}
	}
	e.closeAll(e.transactions.RemoveIf(func(*transaction.Open[*pinned]) bool { return true }))
	done <- nil
}

// sweep ends the transactions that must not go on.
func (e *Executor) sweep() {
	e.closeAll(e.transactions.Expire())
	fleet := e.View()
	e.closeAll(e.transactions.RemoveIf(func(open *transaction.Open[*pinned]) bool {
		database := fleet.Databases[open.Database]
		moved := database == nil || database.Owner != e.Host.ID || database.Term != open.Resource.database.Term
		return moved || fleet.Hosts[open.Origin].State == view.Dead
	}))
}

// closeAll closes the connections of transactions that were taken out.
func (e *Executor) closeAll(ended []*transaction.Open[*pinned]) {
	for _, open := range ended {
		open.Resource.transaction.Close()
	}
}

// Drain lets no transaction begin and waits until the open ones have ended or the context ends.
func (e *Executor) Drain(ctx context.Context) {
	e.draining.Store(true)
	ticker := time.NewTicker(sweepPause / 10)
	defer ticker.Stop()
	for e.transactions.Len() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
