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

// read runs a read on the instance that answers first, and on the next one when an instance refuses.
func (e *Executor) read(ctx context.Context, work model.Work, effective config.Effective) (model.Result, error) {
	database, err := e.serving(ctx, work.Database)
	if err != nil {
		return model.Result{}, err
	}
	want := e.readRequirements(work)
	for {
		choice := e.Choose(database, want, e.Now())
		if choice.Instance == "" {
			return model.Result{}, lastError(database, choice, work, err)
		}
		var result model.Result
		result, err = e.readOn(ctx, database, choice, work, effective)
		if err == nil || !retryableElsewhere(err) {
			return result, asNotRun(err)
		}
		want.Tried = want.Tried.With(choice.Place)
	}
}

// readRequirements returns what the read asks of its instance.
func (e *Executor) readRequirements(work model.Work) route.Want {
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
	if work.Least.Position > 0 {
		want.Written = e.writeTrack(work.Database).Written(work.Least)
	}
	return want
}

// readOn runs a read on the chosen instance, once that holds the least point.
func (e *Executor) readOn(ctx context.Context, database *view.Database, choice route.Choice, work model.Work, effective config.Effective) (model.Result, error) {
	if choice.Wait > 0 {
		if err := e.awaitPoint(ctx, database, choice, work.Least); err != nil {
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

// awaitPoint waits until the instance holds the point, without a connection or a slot, or refuses as behind.
func (e *Executor) awaitPoint(ctx context.Context, database *view.Database, choice route.Choice, least model.Point) error {
	instance := database.Instances[choice.Place]
	limit := max(choice.Wait, time.Millisecond)
	state, err := e.Instances.Client(instance.Instance).Await(ctx, least, limit)
	if err != nil {
		e.observeError(database, choice.Instance, err)
		return err
	}
	e.Observe(state)
	if state.Timeline.Relate(state.Point, least) != model.Covered {
		refusal := model.Refuse(model.CodeBehind, "instance %q does not hold the point yet", choice.Instance)
		refusal.State = &state
		return refusal
	}
	return nil
}

// lastError returns why no instance is left that may serve the read.
func lastError(database *view.Database, choice route.Choice, work model.Work, err error) error {
	if choice.Reason == route.Lost || lostOnPrimary(database, work, err) {
		return model.Refuse(model.CodeLostWrite, "a write that this session has seen was lost by a change of primary")
	}
	if err != nil {
		return asNotRun(err)
	}
	return model.Refuse(model.CodeUnavailable, "no instance may serve the read now")
}

// lostOnPrimary reports whether the primary itself refused for want of a point that only its term or an older one can have written.
func lostOnPrimary(database *view.Database, work model.Work, err error) bool {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) || refusal.Code != model.CodeBehind || refusal.State == nil {
		return false
	}
	state := refusal.State
	return state.Instance == database.Primary && state.Role == model.RolePrimary && work.Least.Term <= state.Term
}

// retryableElsewhere reports whether another instance may serve a read that this error ended.
func retryableElsewhere(err error) bool {
	switch model.CodeOf(err) {
	case model.CodeOverloaded, model.CodeDeadline, model.CodeInvalid, model.CodeUnknownOperation:
		return false
	default:
		return true
	}
}

// asNotRun returns the error of a read as a refusal of work that did not run, since a read changes nothing.
func asNotRun(err error) error {
	if err == nil || model.NotRun(err) {
		return err
	}
	return model.Refuse(model.CodeUnavailable, "the read got no whole answer: %v", err)
}
