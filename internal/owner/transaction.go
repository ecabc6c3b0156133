package owner

import (
	"context"
	"time"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/model"
	"redwingspread/internal/transaction"
	"redwingspread/internal/view"
)

// sweepInterval is the time between two checks for transactions to close.
const sweepInterval = 100 * time.Millisecond

// pinnedTransaction is a transaction that holds a connection of the primary.
type pinnedTransaction struct {
	transaction *dispatch.Transaction
	database    *view.Database
	durability  model.Durability
}

// Begin begins a transaction on a connection of the primary, which the transaction holds until it ends.
func (e *Executor) Begin(ctx context.Context, work model.Work) (model.Result, error) {
	if e.draining.Load() {
		return model.Result{}, model.Refuse(model.CodeStopping, "host %q is stopping", e.Host.ID)
	}
	effective, err := e.effectiveSettings(work)
	if err != nil {
		return model.Result{}, err
	}
	database, primary, err := e.servingPrimary(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	begun, err := e.Instances.Dispatcher(*primary).Begin(ctx, database.Term, work, admissionClass(work, effective))
	if err != nil {
		e.observeError(database, primary.ID, err)
		return model.Result{}, asNotRun(err)
	}
	id := transaction.NewID(work.Database, e.Host.ID)
	e.transactions.Add(&transaction.Open[*pinnedTransaction]{
		ID:          id,
		Database:    work.Database,
		Origin:      work.Origin,
		IdleTimeout: effective.TransactionIdle,
		MaxDuration: effective.TransactionLimit,
		Resource:    &pinnedTransaction{transaction: begun, database: database, durability: effective.Durability},
	})
	result := model.Result{Request: work.Request, Succeeded: true, Transaction: id, Instance: primary.ID, Role: model.RolePrimary}
	result.Durability = model.DurabilityNone
	return addDatabaseState(database, result), nil
}

// executeInTransaction runs a statement in its transaction, which is closed when the outcome of the statement is unknown.
func (e *Executor) executeInTransaction(ctx context.Context, work model.Work) (model.Result, error) {
	open, err := e.transactions.Acquire(work.Transaction)
	if err != nil {
		return model.Result{}, err
	}
	result, state, err := open.Resource.transaction.Run(ctx, work)
	if err != nil && !model.NotRun(err) {
		e.closeTransaction(open)
		return model.Result{}, err
	}
	e.transactions.Release(open)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	result.Durability = model.DurabilityNone
	return addDatabaseState(open.Resource.database, result), nil
}

// Commit commits the work's transaction and returns once it is durable; a repeated call returns the recorded outcome.
func (e *Executor) Commit(ctx context.Context, work model.Work) (model.Result, error) {
	key := requestKey{database: work.Database, request: work.Request}
	return e.attempts.do(ctx, key, func() (model.Result, error) {
		if _, markedNeverRan := e.neverRan.Get(key); markedNeverRan {
			return e.recordedCommit(ctx, work)
		}
		open, err := e.transactions.Acquire(work.Transaction)
		if model.CodeOf(err) == model.CodeTransactionEnded {
			return e.recordedCommit(ctx, work)
		}
		if err != nil {
			return model.Result{}, err
		}
		return e.commit(ctx, work, open)
	})
}

// commit commits and closes an open transaction.
func (e *Executor) commit(ctx context.Context, work model.Work, open *transaction.Open[*pinnedTransaction]) (model.Result, error) {
	pinned := open.Resource
	result, state, err := pinned.transaction.Commit(ctx, work.Request, work.Deadline)
	e.closeTransaction(open)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	e.writeTimesOf(work.Database).Record(result.Point, e.Now())
	return e.awaitDurability(ctx, pinned.database, addDatabaseState(pinned.database, result), pinned.durability)
}

// recordedCommit returns the recorded outcome of a commit whose transaction is no longer open.
func (e *Executor) recordedCommit(ctx context.Context, work model.Work) (model.Result, error) {
	result, err := e.recordedOutcome(ctx, work)
	switch {
	case err == nil || !model.NotRun(err):
		return result, err
	case model.CodeOf(err) == model.CodeNotFound:
		return model.Result{}, model.Refuse(model.CodeTransactionEnded, "transaction %q ended without a commit", work.Transaction)
	default:
		return model.Result{}, model.OutcomeUnknown("the commit of %q could not be resolved: %v", work.Transaction, err)
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

// closeTransaction removes a transaction from the table and closes its connection if that is still open.
func (e *Executor) closeTransaction(open *transaction.Open[*pinnedTransaction]) {
	e.transactions.Remove(open)
	open.Resource.transaction.Close()
}

// Run closes transactions that have expired, whose originating host is dead or whose database changed owner or term.
//
// When the context ends it closes all transactions.
func (e *Executor) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.closeEnded()
		}
	}
	e.closeAll(e.transactions.RemoveIf(func(*transaction.Open[*pinnedTransaction]) bool { return true }))
	done <- nil
}

// closeEnded closes the transactions that must not continue.
func (e *Executor) closeEnded() {
	e.closeAll(e.transactions.Expire())
	currentView := e.View()
	e.closeAll(e.transactions.RemoveIf(func(open *transaction.Open[*pinnedTransaction]) bool {
		database := currentView.Databases[open.Database]
		ownerOrTermChanged := database == nil || database.Owner != e.Host.ID || database.Term != open.Resource.database.Term
		return ownerOrTermChanged || currentView.Hosts[open.Origin].Liveness == view.Dead
	}))
}

// closeAll closes the connections of transactions that were removed from the table.
func (e *Executor) closeAll(ended []*transaction.Open[*pinnedTransaction]) {
	for _, open := range ended {
		open.Resource.transaction.Close()
	}
}

// Drain refuses new transactions and waits until the open ones have ended or the context ends.
func (e *Executor) Drain(ctx context.Context) {
	e.draining.Store(true)
	ticker := time.NewTicker(sweepInterval / 10)
	defer ticker.Stop()
	for e.transactions.Len() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
