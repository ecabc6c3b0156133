package owner

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Outcome returns the recorded result of the work's request id, or a refusal with CodeNotFound when it never ran and never will.
func (e *Executor) Outcome(ctx context.Context, work model.Work) (model.Result, error) {
	key := requestKey{database: work.Database, request: work.Request}
	if err := e.attempts.waitIdle(ctx, key); err != nil {
		return model.Result{}, err
	}
	return e.attempts.do(ctx, key, func() (model.Result, error) { return e.recordedOutcome(ctx, work) })
}

// recordedOutcome asks the primary for the outcome of a request of which no attempt is in progress, and closes the request id when there is none.
func (e *Executor) recordedOutcome(ctx context.Context, work model.Work) (model.Result, error) {
	database, primary, err := e.servingPrimary(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	mayCome := e.Instances.unresolved.mayApply(work.Request, database.Term)
	result, found, err := e.Instances.Client(primary.Instance).Outcome(ctx, database.Term, work.Request)
	if err != nil {
		e.observeError(database, primary.ID, err)
		return model.Result{}, err
	}
	if found {
		return e.awaitDurability(ctx, database, addDatabaseState(database, result), model.DurabilityPrimary)
	}
	if mayCome {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "an attempt of request %q may still come", work.Request)
	}
	if err := e.confirmAbsent(ctx, database); err != nil {
		return model.Result{}, err
	}
	e.neverRan.Put(requestKey{database: work.Database, request: work.Request}, true)
	return model.Result{}, model.Refuse(model.CodeNotFound, "request %q never ran; a repeat needs a new request id", work.Request)
}

// confirmAbsent returns nil when what the primary does not hold now can't come back with a later primary: a majority is on its branch of the log.
func (e *Executor) confirmAbsent(ctx context.Context, database *view.Database) error {
	start := model.Point{Term: database.Term}
	for _, known := range database.Timeline {
		if known.Term == database.Term {
			start = known
		}
	}
	reached, err := e.Gate.AwaitDurability(ctx, database, start, model.DurabilityReplica)
	if err != nil {
		return model.Refuse(model.CodeUnavailable, "no witness that the primary was still in its term: %v", err)
	}
	if reached != model.DurabilityReplica {
		return model.Refuse(model.CodeUnavailable, "no replica follows the primary yet, so that a missing request may come back")
	}
	return nil
}
