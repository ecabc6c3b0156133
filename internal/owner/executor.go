package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingspread/internal/ack"
	"redwingspread/internal/admit"
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/route"
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
	// Now reads the clock.
	Now func() time.Time

	transactions transactions
}

// New returns an executor whose exported fields are to be set before its first work.
func New() *Executor {
	return &Executor{
		Observe:      func(model.InstanceState) {},
		Report:       func(model.InstanceID, model.Term) {},
		Now:          time.Now,
		transactions: newTransactions(),
	}
}

// Execute runs a statement on the instance that fits it best.
func (e *Executor) Execute(ctx context.Context, work model.Work) (model.Result, error) {
	if work.Transaction != "" {
		return e.executeIn(ctx, work)
	}
	database, err := e.owned(work.Database)
	if err != nil {
		return model.Result{}, err
	}
	effective, err := e.policy(work)
	if err != nil {
		return model.Result{}, err
	}
	if work.Statement.Access == model.Write {
		return e.write(ctx, database, work, effective)
	}
	return e.read(ctx, database, work, effective)
}

// Outcome returns the recorded result of the work's request id at the current primary.
func (e *Executor) Outcome(ctx context.Context, work model.Work) (model.Result, error) {
	database, err := e.owned(work.Database)
	if err != nil {
		return model.Result{}, err
	}
	primary := database.Instance(database.Primary)
	if primary == nil {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "primary %q is not known", database.Primary)
	}
	result, found, err := e.Instances.Client(primary.Instance).Outcome(ctx, database.Term, work.Request)
	if err != nil {
		e.learn(database, primary.ID, err)
		return model.Result{}, err
	}
	if !found {
		return model.Result{}, model.Refuse(model.CodeNotFound, "request %q has no recorded outcome", work.Request)
	}
	return e.settle(ctx, database, result, model.DurabilityPrimary)
}

// owned returns the database when this host owns it and serves it, or a refusal that names the owner.
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
	if !database.Serving || database.Switching {
		return nil, model.Refuse(model.CodeUnavailable, "database %q is changing its owner or primary", id)
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

// write runs a write on the primary and acknowledges it once it is as durable as its kind of work asks.
func (e *Executor) write(ctx context.Context, database *view.Database, work model.Work, effective config.Effective) (model.Result, error) {
	result, err := e.run(ctx, database, database.Primary, work, effective)
	if err != nil {
		return model.Result{}, err
	}
	return e.settle(ctx, database, result, effective.Durability)
}

// settle waits until a write that ran may be acknowledged.
func (e *Executor) settle(ctx context.Context, database *view.Database, result model.Result, want model.Durability) (model.Result, error) {
	reached, err := e.Gate.Settle(ctx, database, result.Point, want)
	if err != nil {
		return model.Result{}, model.Doubt("request %q ran but may not be acknowledged: %v", result.Request, err)
	}
	result.Durability = reached
	return result, nil
}

// read runs a read on the instance that answers first, and on the next one when an instance refuses.
func (e *Executor) read(ctx context.Context, database *view.Database, work model.Work, effective config.Effective) (model.Result, error) {
	want := route.Want{
		Access:     model.Read,
		HasToken:   work.Known,
		Least:      work.Least,
		MaxAge:     work.MaxAge,
		DataCentre: e.Host.DataCentre,
		Region:     e.Host.Region,
		Left:       work.Deadline.Sub(e.Now()),
		Draw:       rand.Uint32(),
	}
	var err error
	for {
		choice := route.Choose(database, want, e.Now())
		if choice.Instance == "" {
			return model.Result{}, lastError(choice, err)
		}
		work.Wait = choice.Wait
		var result model.Result
		result, err = e.run(ctx, database, choice.Instance, work, effective)
		if err == nil || !elsewhere(err) {
			result.Durability = model.DurabilityNone
			return result, err
		}
		want.Tried = want.Tried.With(choice.Place)
	}
}

// lastError returns the refusal of the last instance tried, or why none could be chosen.
func lastError(choice route.Choice, err error) error {
	if err != nil {
		return err
	}
	if choice.Reason == route.Lost {
		return model.Refuse(model.CodeLostWrite, "a write that this session has seen was lost by a change of primary")
	}
	return model.Refuse(model.CodeUnavailable, "no instance may serve the read now")
}

// elsewhere reports whether another instance may serve a read that this error ended.
func elsewhere(err error) bool {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code {
	case model.CodeOverloaded, model.CodeDeadline, model.CodeInvalid, model.CodeUnknownOperation:
		return false
	default:
		return true
	}
}

// run runs a statement on one instance and tells control what it learnt.
func (e *Executor) run(ctx context.Context, database *view.Database, id model.InstanceID, work model.Work, effective config.Effective) (model.Result, error) {
	instance := database.Instance(id)
	if instance == nil {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "instance %q is not known", id)
	}
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
