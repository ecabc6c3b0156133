package owner

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Outcome returns the recorded result of the work's request id, or a refusal with CodeNotFound if it never ran and never will.
func (e *Executor) Outcome(ctx context.Context, work model.Work) (model.Result, error) {
	key := requestKey{database: work.Database, request: work.Request}
	if err := e.attempts.waitIdle(ctx, key); err != nil {
		return model.Result{}, err
	}
	return e.attempts.do(ctx, key, func() (model.Result, error) { return e.recordedOutcome(ctx, work) })
}

// recordedOutcome asks the primary for the outcome of a request, of which no attempt may be in progress.
//
// If there is none and none can appear later, the request id is marked as never run.
func (e *Executor) recordedOutcome(ctx context.Context, work model.Work) (model.Result, error) {
	database, primary, err := e.servingPrimary(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	mayStillApply := e.Instances.unresolved.mayApply(work.Request, database.Term)
	result, found, err := e.Instances.Client(primary.Instance).Outcome(ctx, database.Term, work.Request)
	if err != nil {
		e.observeError(database, primary.ID, err)
		return model.Result{}, err
	}
	if found {
		return e.awaitDurability(ctx, database, addDatabaseState(database, result), model.DurabilityPrimary)
	}
	if mayStillApply {
		return model.Result{}, model.Refuse(model.CodeUnavailable, "an attempt of request %q may still come", work.Request)
	}
	if err := e.confirmAbsent(ctx, database); err != nil {
		return model.Result{}, err
	}
	e.neverRan.Put(requestKey{database: work.Database, request: work.Request}, true)
	return model.Result{}, model.Refuse(model.CodeNotFound, "request %q never ran; a repeat needs a new request id", work.Request)
}

// confirmAbsent returns nil if a write that the primary does not hold can't reappear with a later primary.
//
// This is so once a majority of the group is on the primary's branch of the log.
func (e *Executor) confirmAbsent(ctx context.Context, database *view.Database) error {
	start := model.Point{Term: database.Term}
	for _, branch := range database.Timeline {
		if branch.Term == database.Term {
			start = branch
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
