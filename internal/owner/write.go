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
	key := requestKey{database: work.Database, request: work.Request}
	return e.attempts.do(ctx, key, func() (model.Result, error) {
		if _, closed := e.neverRan.Get(key); closed {
			return e.recordedOutcome(ctx, work)
		}
		return e.writeUntilKnown(ctx, work, effective)
	})
}

// writeUntilKnown runs a write until its outcome is known; the endpoint's record makes every further run a question for the first one's outcome.
func (e *Executor) writeUntilKnown(ctx context.Context, work model.Work, effective config.Effective) (model.Result, error) {
	var doubt error
	pauses := retry.NewBackoff()
	for {
		result, err := e.writeOnce(ctx, work, effective)
		switch {
		case err == nil:
			e.Budget.Succeed()
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
		e.writeTrack(work.Database).Add(result.Point, e.Now())
	}
	return e.awaitDurability(ctx, database, result, effective.Durability)
}

// awaitDurability waits until a write that ran may be acknowledged.
func (e *Executor) awaitDurability(ctx context.Context, database *view.Database, result model.Result, want model.Durability) (model.Result, error) {
	reached, err := e.Gate.AwaitDurability(ctx, database, result.Point, want)
	if err != nil {
		return model.Result{}, model.Doubt("request %q ran but may not be acknowledged: %v", result.Request, err)
	}
	result.Durability = reached
	return result, nil
}

// writeTrack returns the record of when the database's positions were written.
func (e *Executor) writeTrack(database model.DatabaseID) *route.Track {
	if known, found := e.writeTracks.Load(database); found {
		return known.(*route.Track)
	}
	known, _ := e.writeTracks.LoadOrStore(database, &route.Track{})
	return known.(*route.Track)
}
