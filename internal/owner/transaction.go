package owner

import (
	"context"
	"sync"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// open is one open transaction, pinned to a connection of the primary.
type open struct {
	mutex       sync.Mutex // one call at a time
	transaction *dispatch.Transaction
	database    *view.Database
	durability  model.Durability
}

// transactions holds the open transactions of this host.
type transactions struct {
	mutex sync.Mutex
	open  map[model.TransactionID]*open
}

// newTransactions returns an empty set of transactions.
func newTransactions() transactions {
	return transactions{open: map[model.TransactionID]*open{}}
}

// put adds a transaction and reports false when its name is taken.
func (t *transactions) put(id model.TransactionID, added *open) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open[id] != nil {
		return false
	}
	t.open[id] = added
	return true
}

// get returns a transaction, or a refusal when it has ended.
func (t *transactions) get(id model.TransactionID) (*open, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if found := t.open[id]; found != nil {
		return found, nil
	}
	return nil, model.Refuse(model.CodeTransactionEnded, "transaction %q is not open here", id)
}

// take removes a transaction and returns it, or a refusal when it has ended.
func (t *transactions) take(id model.TransactionID) (*open, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.open[id]
	if found == nil {
		return nil, model.Refuse(model.CodeTransactionEnded, "transaction %q is not open here", id)
	}
	delete(t.open, id)
	return found, nil
}

// Begin begins a transaction on a connection of the primary, which it keeps to its end.
func (e *Executor) Begin(ctx context.Context, work model.Work) (model.Result, error) {
	database, err := e.owned(work.Database)
	if err != nil {
		return model.Result{}, err
	}
	effective, err := e.policy(work)
	if err != nil {
		return model.Result{}, err
	}
	primary := database.Instance(database.Primary)
	if primary == nil {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "primary %q is not known", database.Primary)
	}
	begun, err := e.Instances.Dispatcher(*primary).Begin(ctx, database.Term, work, class(work, effective))
	if err != nil {
		e.learn(database, primary.ID, err)
		return model.Result{}, err
	}
	id := nameTransaction(work.Database, e.Host.ID, work.Request)
	if !e.transactions.put(id, &open{transaction: begun, database: database, durability: effective.Durability}) {
		begun.Close()
		return model.Result{}, model.Refuse(model.CodeInvalid, "transaction %q is already open", id)
	}
	result := model.Result{Request: work.Request, Done: true, Transaction: id, Instance: primary.ID, Role: model.RolePrimary}
	result.Durability = model.DurabilityNone
	return stamp(database, result), nil
}

// executeIn runs a statement within its transaction.
func (e *Executor) executeIn(ctx context.Context, work model.Work) (model.Result, error) {
	found, err := e.transactions.get(work.Transaction)
	if err != nil {
		return model.Result{}, err
	}
	found.mutex.Lock()
	defer found.mutex.Unlock()
	result, state, err := found.transaction.Run(ctx, work)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	result.Durability = model.DurabilityNone
	return stamp(found.database, result), nil
}

// Commit commits the work's transaction and acknowledges it once it is durable.
func (e *Executor) Commit(ctx context.Context, work model.Work) (model.Result, error) {
	found, err := e.transactions.take(work.Transaction)
	if err != nil {
		return model.Result{}, err
	}
	found.mutex.Lock()
	defer found.mutex.Unlock()
	result, state, err := found.transaction.Commit(ctx, work.Request, work.Deadline)
	if err != nil {
		return model.Result{}, err
	}
	e.Observe(state)
	return e.settle(ctx, found.database, stamp(found.database, result), found.durability)
}

// Rollback rolls the work's transaction back.
func (e *Executor) Rollback(ctx context.Context, work model.Work) error {
	found, err := e.transactions.take(work.Transaction)
	if err != nil {
		return err
	}
	found.mutex.Lock()
	defer found.mutex.Unlock()
	return found.transaction.Rollback(ctx)
}
