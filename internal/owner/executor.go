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

// Executor runs work on the databases that this host owns.
type Executor struct {
	// Host is this host.
	Host model.Host
	// View returns the newest view of the fleet.
	View func() *view.View
	// Gate decides when a write may be acknowledged.
	Gate *ack.Gate
	// Instances runs statements on instances.
	Instances *Instances
	// Observe tells control what an instance said of itself.
	Observe func(model.InstanceState)
	// Report tells control of an instance that could not be reached in a term.
	Report func(model.InstanceID, model.Term)
	// Changed returns a channel that closes at the next change of the view.
	Changed func() <-chan struct{}
	// Choose chooses the instance of each read.
	Choose route.Chooser
	// Budget limits the attempts to resolve unknown outcomes.
	Budget *retry.Budget
	// Now reads the clock.
	Now func() time.Time

	flights      *flights
	closed       *bounded.Map[flightKey, bool] // requests that were answered as never run
	tracks       sync.Map                      // of *route.Track by model.DatabaseID
	transactions *transaction.Table[*pinned]
	draining     atomic.Bool // no transaction may begin
}

// The bounds of what is remembered of requests that were answered as never run.
const (
	closedLimit = 100_000
	closedLife  = 10 * time.Minute // the longest deadline of a request
)

// New returns an executor whose exported fields are to be set before its first work.
func New() *Executor {
	return &Executor{
		Observe:      func(model.InstanceState) {},
		Report:       func(model.InstanceID, model.Term) {},
		Now:          time.Now,
		Changed:      func() <-chan struct{} { return nil },
		Choose:       route.Choose,
		Budget:       retry.NewBudget(),
		flights:      newFlights(),
		closed:       bounded.New[flightKey, bool](closedLimit, closedLife),
		transactions: transaction.New[*pinned](),
	}
}

// Execute runs a statement on the instance that fits it best.
func (e *Executor) Execute(ctx context.Context, work model.Work) (model.Result, error) {
	if work.Transaction != "" {
		return e.executeIn(ctx, work)
	}
	effective, err := e.policy(work)
	if err != nil {
		return model.Result{}, err
	}
	if work.Statement.Access == model.Write {
		return e.write(ctx, work, effective)
	}
	return e.read(ctx, work, effective)
}

// serving returns the database that this host owns, and waits while its owner or primary changes.
func (e *Executor) serving(ctx context.Context, id model.DatabaseID) (*view.Database, error) {
	for {
		changed := e.Changed()
		database, err := e.owned(id)
		if err != nil {
			return nil, err
		}
		if database.Serving && !database.Switching {
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

// leader returns the database and its primary, and waits while its owner or primary changes.
func (e *Executor) leader(ctx context.Context, id model.DatabaseID) (*view.Database, *view.Instance, error) {
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

// owned returns the database when this host owns it, or a refusal that names the owner.
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

// policy returns the settings in force for the work.
func (e *Executor) policy(work model.Work) (config.Effective, error) {
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

// class returns how the work is queued.
func class(work model.Work, effective config.Effective) admit.Class {
	return admit.Class{
		Rank:       effective.Rank,
		Kind:       work.Statement.Kind,
		Session:    work.Session,
		Floor:      effective.Floor,
		QueueLimit: effective.QueueLimit,
	}
}

// run runs a statement on one instance and tells control what it learnt.
func (e *Executor) run(ctx context.Context, database *view.Database, id model.InstanceID, work model.Work, effective config.Effective) (model.Result, error) {
	instance := database.Instance(id)
	if instance == nil {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "instance %q is not known", id)
	}
	ctx, stop := e.Instances.within(ctx, database)
	defer stop()
	result, state, err := e.Instances.Dispatcher(*instance).Do(ctx, database.Term, work, class(work, effective))
	if err != nil {
		e.learn(database, id, err)
		return model.Result{}, err
	}
	e.Observe(state)
	return stamp(database, result), nil
}

// learn tells control of the state that came with a refusal, or of an instance out of reach.
func (e *Executor) learn(database *view.Database, id model.InstanceID, err error) {
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.State != nil {
		e.Observe(*refusal.State)
		return
	}
	if errors.As(err, &refusal) && refusal.Code == model.CodeUnavailable {
		e.Report(id, database.Term)
	}
}

// stamp adds what the owner knows of the database to a result.
func stamp(database *view.Database, result model.Result) model.Result {
	result.Term = database.Term
	result.Primary = database.Primary
	return result
}
