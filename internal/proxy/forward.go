package proxy

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/retry"
	"redwingspread/internal/view"
)

// forward sends work to the owner of its database and retries while that is safe and the deadline has not passed.
func (p *Proxy) forward(ctx context.Context, work model.Work, call ownerCall) (model.Result, error) {
	backoff := retry.NewBackoff()
	var unknownOutcome error // the last error that leaves the outcome unknown
	for {
		before := p.currentOwnerState(work.Database)
		result, err := p.attempt(ctx, work, call)
		if err == nil {
			p.Budget.RecordSuccess()
			return result, nil
		}
		if !model.NotRun(err) {
			unknownOutcome = err
		}
		if ctx.Err() != nil || !p.shouldRetry(work, err) || !p.waitForRetry(ctx, backoff.Next(0), work.Database, before) {
			return model.Result{}, decisiveError(unknownOutcome, err)
		}
	}
}

// decisiveError returns the error to report: after an attempt of unknown outcome, only CodeNotFound proves that the work never ran.
func decisiveError(unknownOutcome, err error) error {
	if unknownOutcome == nil || model.CodeOf(err) == model.CodeNotFound {
		return err
	}
	return unknownOutcome
}

// attempt sends work once, to the owner in the current view.
func (p *Proxy) attempt(ctx context.Context, work model.Work, call ownerCall) (model.Result, error) {
	currentView := p.View()
	database := currentView.Databases[work.Database]
	if database == nil {
		return model.Result{}, model.Refuse(model.CodeUnknownDatabase, "database %q is not known", work.Database)
	}
	service, err := p.ownerService(currentView, database)
	if err != nil {
		return model.Result{}, err
	}
	ctx, release := p.ownerContexts.attach(ctx, currentView, database)
	defer release()
	return call(service, ctx, work)
}

// ownerService returns the service of the database's owner.
func (p *Proxy) ownerService(currentView *view.View, database *view.Database) (owner.Service, error) {
	if database.Owner == p.Host.ID {
		return p.Local, nil
	}
	host, found := currentView.Hosts[database.Owner]
	if !found {
		return nil, model.Refuse(model.CodeUnavailable, "owner %q of database %q is not known", database.Owner, database.ID)
	}
	return p.Peer(host.Host), nil
}

// shouldRetry reports whether work may be sent again. Refused work, which did not run, may if the owner has changed or is
// unavailable. Work of unknown outcome may outside a transaction, as far as the retry budget allows: the endpoint's record of
// request ids keeps it from running twice. It tells the control loop which owner a refusal names.
func (p *Proxy) shouldRetry(work model.Work, err error) bool {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) || !refusal.NotRun {
		return work.Transaction == "" && p.Budget.Take()
	}
	switch refusal.Code {
	case model.CodeNotOwner:
		p.Redirect(work.Database, refusal.Owner, refusal.Term)
		return true
	case model.CodeUnavailable, model.CodeStopping:
		return true
	default:
		return false
	}
}

// ownerState is the part of the view that decides where work of a database goes.
type ownerState struct {
	owner   model.HostID
	term    model.Term
	serving bool
}

// currentOwnerState returns the current owner state of the database.
func (p *Proxy) currentOwnerState(id model.DatabaseID) ownerState {
	database := p.View().Databases[id]
	if database == nil {
		return ownerState{}
	}
	return ownerState{owner: database.Owner, term: database.Term, serving: database.Serving && !database.SwitchingOver}
}

// waitForRetry waits until the delay has passed or the database's owner state changes, and reports false when the context ends first.
func (p *Proxy) waitForRetry(ctx context.Context, delay time.Duration, id model.DatabaseID, before ownerState) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		changed := p.Changed()
		if p.currentOwnerState(id) != before {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
