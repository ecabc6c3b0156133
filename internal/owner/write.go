package owner

import (
	"context"

	"redwingspread/internal/clock"
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
	"redwingspread/internal/route"
	"redwingspread/internal/view"
)

// write runs a write once, however many attempts of its request id arrive, and resolves an unknown outcome.
func (e *Executor) write(ctx context.Context, work model.Work, effective config.Effective) (model.Result, error) {
	key := flightKey{database: work.Database, request: work.Request}
	return e.flights.do(ctx, key, func() (model.Result, error) {
		if _, closed := e.closed.Get(key); closed {
			return e.recorded(ctx, work)
		}
		return e.resolve(ctx, work, effective)
	})
}

// resolve runs a write until its outcome is known; the endpoint's record makes every further run a question for the first one's outcome.
func (e *Executor) resolve(ctx context.Context, work model.Work, effective config.Effective) (model.Result, error) {
	var doubt error
	pauses := retry.NewBackoff()
	for {
		result, err := e.writeOnce(ctx, work, effective)
		switch {
		case err == nil:
			e.Budget.RecordSuccess()
			return result, nil
		case doubt == nil && model.NotRun(err):
			return model.Result{}, err
		case !model.NotRun(err):
			doubt = err
		case model.CodeOf(err) == model.CodeNotOwner:
			return model.Result{}, doubt
		}
		if !e.Budget.Take() || clock.Pause(ctx, pauses.Next(0)) != nil {
			return model.Result{}, doubt
		}
	}
}

// writeOnce runs a write on the primary and acknowledges it once it is as durable as its kind of work asks.
func (e *Executor) writeOnce(ctx context.Context, work model.Work, effective config.Effective) (model.Result, error) {
	database, err := e.serving(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	result, err := e.run(ctx, database, database.Primary, work, effective)
	if err != nil {
		return model.Result{}, err
	}
	if !result.Repeated {
		e.track(work.Database).Record(result.Point, e.Now())
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

// track returns the record of when the database's positions were written.
func (e *Executor) track(database model.DatabaseID) *route.WriteTimes {
	if known, found := e.tracks.Load(database); found {
		return known.(*route.WriteTimes)
	}
	known, _ := e.tracks.LoadOrStore(database, &route.WriteTimes{})
	return known.(*route.WriteTimes)
}
