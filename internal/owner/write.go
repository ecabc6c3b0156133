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

// write runs a write once, however many attempts with its request id arrive, and resolves an unknown outcome.
func (e *Executor) write(ctx context.Context, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	key := requestKey{database: work.Database, request: work.Request}
	return e.attempts.do(ctx, key, func() (model.Result, error) {
		if _, markedNeverRan := e.neverRan.Get(key); markedNeverRan {
			return e.recordedOutcome(ctx, work)
		}
		return e.writeUntilKnown(ctx, work, effective)
	})
}

// writeUntilKnown runs a write until its outcome is known, until the retry budget or the context ends, or until another host
// owns the database.
//
// Retries are safe: the endpoint records outcomes by request id and answers a repeated write with the first outcome.
func (e *Executor) writeUntilKnown(ctx context.Context, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	var unknownOutcome error
	backoff := retry.NewBackoff()
	for {
		result, err := e.writeOnce(ctx, work, effective)
		switch {
		case err == nil:
			e.Budget.RecordSuccess()
			return result, nil
		case unknownOutcome == nil && model.NotRun(err):
			return model.Result{}, err
		case !model.NotRun(err):
			unknownOutcome = err
		case model.CodeOf(err) == model.CodeNotOwner:
			return model.Result{}, unknownOutcome
		}
		if !e.Budget.Take() || clock.Pause(ctx, backoff.Next(0)) != nil {
			return model.Result{}, unknownOutcome
		}
	}
}

// writeOnce runs a write on the primary and returns once it has the durability configured for its kind of work, or the highest
// one that the reachable replicas allow.
func (e *Executor) writeOnce(ctx context.Context, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	database, err := e.serving(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	result, err := e.run(ctx, database, database.Primary, work, effective)
	if err != nil {
		return model.Result{}, err
	}
	if !result.Repeated {
		e.writeTimesOf(work.Database).Record(result.Point, e.Now())
	}
	return e.awaitDurability(ctx, database, result, effective.Durability)
}

// awaitDurability waits until a write that ran may be acknowledged, and sets the durability that it reached.
func (e *Executor) awaitDurability(ctx context.Context, database *view.Database, result model.Result, want model.Durability) (model.Result, error) {
	reached, err := e.Gate.AwaitDurability(ctx, database, result.Point, want)
	if err != nil {
		return model.Result{}, model.OutcomeUnknown("request %q ran but may not be acknowledged: %v", result.Request, err)
	}
	result.Durability = reached
	return result, nil
}

// writeTimesOf returns the times at which recent positions of the database's log were written.
func (e *Executor) writeTimesOf(database model.DatabaseID) *route.WriteTimes {
	if loaded, found := e.writeTimes.Load(database); found {
		return loaded.(*route.WriteTimes)
	}
	loaded, _ := e.writeTimes.LoadOrStore(database, &route.WriteTimes{})
	return loaded.(*route.WriteTimes)
}
