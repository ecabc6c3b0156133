package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/route"
	"redwingspread/internal/view"
)

// read runs a read on the best instance, and on the next best one when an instance fails.
func (e *Executor) read(ctx context.Context, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	database, err := e.serving(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	requirements := e.readRequirements(work)
	for {
		choice := e.Choose(database, requirements, e.Now())
		if choice.Instance == "" {
			return model.Result{}, lastError(database, choice, work, err)
		}
		var result model.Result
		result, err = e.readOn(ctx, database, choice, work, effective)
		if err == nil || !retryableElsewhere(err) {
			return result, asNotRun(err)
		}
		requirements.Tried = requirements.Tried.With(choice.Index)
	}
}

// readRequirements returns the requirements that an instance has to meet for the read.
func (e *Executor) readRequirements(work model.Work) route.Request {
	requirements := route.Request{
		Access:     model.Read,
		HasToken:   work.TokenComplete,
		MinPoint:   work.MinPoint,
		MaxAge:     work.MaxAge,
		DataCentre: e.Host.DataCentre,
		Region:     e.Host.Region,
		TimeLeft:   work.Deadline.Sub(e.Now()),
		Random:     rand.Uint32(),
	}
	if work.MinPoint.Position > 0 {
		requirements.WrittenAt = e.writeTimesOf(work.Database).WrittenAt(work.MinPoint)
	}
	return requirements
}

// readOn runs a read on the chosen instance, after waiting for the work's minimum point if the choice asks for it.
func (e *Executor) readOn(ctx context.Context, database *view.Database, choice route.Choice, work model.Work, effective config.EffectiveSettings) (model.Result, error) {
	if choice.MaxWait > 0 {
		if err := e.awaitPoint(ctx, database, choice, work.MinPoint); err != nil {
			return model.Result{}, err
		}
	}
	result, err := e.run(ctx, database, choice.Instance, work, effective)
	if err != nil {
		return model.Result{}, err
	}
	result.Durability = model.DurabilityNone
	return result, nil
}

// awaitPoint waits, without taking a connection or a slot, until the instance holds the point; past the limit it refuses with CodeBehind.
func (e *Executor) awaitPoint(ctx context.Context, database *view.Database, choice route.Choice, minPoint model.Point) error {
	instance := database.Instances[choice.Index]
	limit := max(choice.MaxWait, time.Millisecond)
	state, err := e.Instances.Client(instance.Instance).Await(ctx, minPoint, limit)
	if err != nil {
		e.observeError(database, choice.Instance, err)
		return err
	}
	e.Observe(state)
	if state.Timeline.Relate(state.Point, minPoint) != model.Covered {
		refusal := model.Refuse(model.CodeBehind, "instance %q does not hold the point yet", choice.Instance)
		refusal.State = &state
		return refusal
	}
	return nil
}

// lastError returns the reason why no instance is left to serve the read.
func lastError(database *view.Database, choice route.Choice, work model.Work, err error) error {
	if choice.Reason == route.Lost || lostOnPrimary(database, work, err) {
		return model.Refuse(model.CodeLostWrite, "a write that this session has seen was lost by a change of primary")
	}
	if err != nil {
		return asNotRun(err)
	}
	return model.Refuse(model.CodeUnavailable, "no instance may serve the read now")
}

// lostOnPrimary reports whether the primary itself lacks the minimum point although that belongs to its term or an older one.
func lostOnPrimary(database *view.Database, work model.Work, err error) bool {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) || refusal.Code != model.CodeBehind || refusal.State == nil {
		return false
	}
	state := refusal.State
	return state.Instance == database.Primary && state.Role == model.RolePrimary && work.MinPoint.Term <= state.Term
}

// retryableElsewhere reports whether a read that failed with the error may succeed on another instance.
func retryableElsewhere(err error) bool {
	switch model.CodeOf(err) {
	case model.CodeOverloaded, model.CodeDeadline, model.CodeInvalid, model.CodeUnknownOperation:
		return false
	default:
		return true
	}
}

// asNotRun returns an unknown outcome of a read, or of the begin of a transaction, as a refusal that allows a retry, since neither
// has effects.
func asNotRun(err error) error {
	if err == nil || model.NotRun(err) {
		return err
	}
	return model.Refuse(model.CodeUnavailable, "the read got no whole answer: %v", err)
}
