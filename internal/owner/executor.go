package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/ack"
	"redwingspread/internal/admit"
	"redwingspread/internal/bounded"
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
	"redwingspread/internal/route"
	"redwingspread/internal/transaction"
	"redwingspread/internal/view"
)

// Executor runs statements and transactions on the databases that this host owns.
type Executor struct {
	// Host is this host.
	Host model.Host
	// View returns the current view of the fleet.
	View func() *view.View
	// Gate decides when a write may be acknowledged.
	Gate *ack.Gate
	// Instances holds the clients and dispatchers of the instances.
	Instances *Instances
	// Observe passes the state that an instance reported to the control loop.
	Observe func(model.InstanceState)
	// ReportUnreachable tells the control loop that an instance could not be reached in a term.
	ReportUnreachable func(model.InstanceID, model.Term)
	// Changed returns a channel that is closed when the view changes.
	Changed func() <-chan struct{}
	// Choose selects the instance for a read.
	Choose route.Chooser
	// Budget limits the retries that resolve unknown outcomes.
	Budget *retry.Budget
	// Now returns the current time.
	Now func() time.Time

	attempts     *attempts
	neverRan     *bounded.Map[requestKey, bool] // requests whose callers were told that they never ran and never will
	writeTimes   sync.Map                       // *route.WriteTimes by model.DatabaseID
	transactions *transaction.Table[*pinnedTransaction]
	draining     atomic.Bool // whether new transactions are refused
}

// Limits of Executor.neverRan.
const (
	neverRanLimit = 100_000          // maximum number of requests
	neverRanTTL   = 10 * time.Minute // the longest deadline of a request
)

// New returns an executor; set its exported fields before first use.
func New() *Executor {
	return &Executor{
		Observe:           func(model.InstanceState) {},
		ReportUnreachable: func(model.InstanceID, model.Term) {},
		Now:               time.Now,
		Changed:           func() <-chan struct{} { return nil },
		Choose:            route.Choose,
		Budget:            retry.NewBudget(),
		attempts:          newAttempts(),
		neverRan:          bounded.New[requestKey, bool](neverRanLimit, neverRanTTL),
		transactions:      transaction.New[*pinnedTransaction](),
	}
}

// Execute runs a statement: in its transaction, on the primary if it writes, else on the best instance for the read.
func (e *Executor) Execute(ctx context.Context, work model.Work) (model.Result, error) {
	if work.Transaction != "" {
		return e.executeInTransaction(ctx, work)
	}
	effective, err := e.effectiveSettings(work)
	if err != nil {
		return model.Result{}, err
	}
	if work.Statement.Access == model.Write {
		return e.write(ctx, work, effective)
	}
	return e.read(ctx, work, effective)
}

// serving returns a database that this host owns; it waits while the owner or primary is changing.
func (e *Executor) serving(ctx context.Context, id model.DatabaseID) (*view.Database, error) {
	for {
		changed := e.Changed()
		database, err := e.owned(id)
		if err != nil {
			return nil, err
		}
		if database.Serving && !database.SwitchingOver {
			return database, nil
		}
		if changed == nil {
			return nil, model.Refuse(model.CodeUnavailable, "database %q is changing its owner or primary", id)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, model.Refuse(model.CodeUnavailable, "database %q is changing its owner or primary", id)
		}
	}
}

// servingPrimary returns a database that this host owns and its primary; it waits while the owner or primary is changing.
func (e *Executor) servingPrimary(ctx context.Context, id model.DatabaseID) (*view.Database, *view.Instance, error) {
	database, err := e.serving(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	primary := database.Instance(database.Primary)
	if primary == nil {
		return nil, nil, model.Refuse(model.CodeUnavailable, "primary %q is not known", database.Primary)
	}
	return database, primary, nil
}

// owned returns the database if this host owns it, else a refusal that names the owner.
func (e *Executor) owned(id model.DatabaseID) (*view.Database, error) {
	database := e.View().Databases[id]
	if database == nil {
		return nil, model.Refuse(model.CodeUnknownDatabase, "database %q is not known", id)
	}
	if database.Owner != e.Host.ID {
		refusal := model.Refuse(model.CodeNotOwner, "database %q is owned by %q", id, database.Owner)
		refusal.Owner = database.Owner
		refusal.Term = database.Term
		return nil, refusal
	}
	return database, nil
}

// effectiveSettings returns the settings that apply to the work.
func (e *Executor) effectiveSettings(work model.Work) (config.EffectiveSettings, error) {
	effective, found := e.View().Policy.Lookup(config.Scope{
		Database:   work.Database,
		Kind:       work.Statement.Kind,
		DataCentre: e.Host.DataCentre,
		Region:     e.Host.Region,
	})
	if !found {
		return effective, model.Refuse(model.CodeUnknownKind, "kind of work %q is not known", work.Statement.Kind)
	}
	return effective, nil
}

// admissionClass returns the class that determines how the work is queued.
func admissionClass(work model.Work, effective config.EffectiveSettings) admit.Class {
	return admit.Class{
		Rank:       effective.Rank,
		Kind:       work.Statement.Kind,
		Session:    work.Session,
		Floor:      effective.Floor,
		QueueLimit: effective.QueueLimit,
	}
}

// run runs a statement on an instance and passes the instance's state or failure to the control loop.
func (e *Executor) run(ctx context.Context, database *view.Database, id model.InstanceID, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	instance := database.Instance(id)
	if instance == nil {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "instance %q is not known", id)
	}
	ctx, stop := e.Instances.withPrimary(ctx, database)
	defer stop()
	result, state, err := e.Instances.Dispatcher(*instance).Do(ctx, database.Term, work, admissionClass(work, effective))
	if err != nil {
		e.observeError(database, id, err)
		return model.Result{}, err
	}
	e.Observe(state)
	return addDatabaseState(database, result), nil
}

// observeError passes on the instance state that a refusal carries, or reports the instance as unreachable.
func (e *Executor) observeError(database *view.Database, id model.InstanceID, err error) {
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.State != nil {
		e.Observe(*refusal.State)
		return
	}
	if errors.As(err, &refusal) && refusal.Code == model.CodeUnavailable {
		e.ReportUnreachable(id, database.Term)
	}
}

// addDatabaseState sets the term and primary of a result.
func addDatabaseState(database *view.Database, result model.Result) model.Result {
	result.Term = database.Term
	result.Primary = database.Primary
	return result
}
