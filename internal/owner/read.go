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
	want := e.want(work)
	for {
		choice := e.Choose(database, want, e.Now())
		if choice.Instance == "" {
			return model.Result{}, lastError(database, choice, work, err)
		}
		var result model.Result
		result, err = e.readOn(ctx, database, choice, work, effective)
		if err == nil || !elsewhere(err) {
			return result, withoutEffect(err)
		}
		want.Tried = want.Tried.With(choice.Index)
	}
}

// want returns what the read asks of its instance.
func (e *Executor) want(work model.Work) route.Request {
	want := route.Request{
		Access:     model.Read,
		HasToken:   work.Known,
		MinPoint:   work.Least,
		MaxAge:     work.MaxAge,
		DataCentre: e.Host.DataCentre,
		Region:     e.Host.Region,
		TimeLeft:   work.Deadline.Sub(e.Now()),
		Random:     rand.Uint32(),
	}
	if work.Least.Position > 0 {
		want.WrittenAt = e.track(work.Database).WrittenAt(work.Least)
	}
	return want
}

// readOn runs a read on the chosen instance, once that holds the least point.
func (e *Executor) readOn(ctx context.Context, database *view.Database, choice route.Choice, work model.Work, effective config.Effective) (model.Result, error) {
	if choice.MaxWait > 0 {
		if err := e.await(ctx, database, choice, work.Least); err != nil {
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

// await waits until the instance holds the point, without a connection or a slot, or refuses as behind.
func (e *Executor) await(ctx context.Context, database *view.Database, choice route.Choice, least model.Point) error {
	instance := database.Instances[choice.Index]
	limit := max(choice.MaxWait, time.Millisecond)
	state, err := e.Instances.Client(instance.Instance).Await(ctx, least, limit)
	if err != nil {
		e.learn(database, choice.Instance, err)
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
		return withoutEffect(err)
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

// elsewhere reports whether another instance may serve a read that this error ended.
func elsewhere(err error) bool {
	switch model.CodeOf(err) {
	case model.CodeOverloaded, model.CodeDeadline, model.CodeInvalid, model.CodeUnknownOperation:
		return false
	default:
		return true
	}
}

// withoutEffect returns the error of a read as a refusal of work that did not run, since a read changes nothing.
func withoutEffect(err error) error {
	if err == nil || model.NotRun(err) {
		return err
	}
	return model.Refuse(model.CodeUnavailable, "the read got no whole answer: %v", err)
}
