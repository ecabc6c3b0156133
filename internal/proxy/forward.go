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

// forward sends work to the owner of its database, again while that is safe and time is left.
func (p *Proxy) forward(ctx context.Context, work model.Work, call ownerCall) (model.Result, error) {
	pauses := retry.NewBackoff()
	var doubt error
	for {
		before := p.ownerState(work.Database)
		result, err := p.attempt(ctx, work, call)
		if err == nil {
			p.Budget.RecordSuccess()
			return result, nil
		}
		if !model.NotRun(err) {
			doubt = err
		}
		if ctx.Err() != nil || !p.shouldRetry(work, err) || !p.waitForRetry(ctx, pauses.Next(0), work.Database, before) {
			return model.Result{}, decisiveError(doubt, err)
		}
	}
}

// decisiveError returns the error that tells most of the work: after an attempt of unknown outcome, only "never ran" settles it.
func decisiveError(doubt, err error) error {
	if doubt == nil || model.CodeOf(err) == model.CodeNotFound {
		return err
	}
	return doubt
}

// attempt sends work once, to the owner that the newest view names.
func (p *Proxy) attempt(ctx context.Context, work model.Work, call ownerCall) (model.Result, error) {
	view := p.View()
	database := view.Databases[work.Database]
	if database == nil {
		return model.Result{}, model.Refuse(model.CodeUnknownDatabase, "database %q is not known", work.Database)
	}
	service, err := p.ownerService(view, database)
	if err != nil {
		return model.Result{}, err
	}
	ctx, leave := p.ownerContexts.attach(ctx, view, database)
	defer leave()
	return call(service, ctx, work)
}

// ownerService returns the service of the database's owner.
func (p *Proxy) ownerService(fleet *view.View, database *view.Database) (owner.Service, error) {
	if database.Owner == p.Host.ID {
		return p.Local, nil
	}
	host, found := fleet.Hosts[database.Owner]
	if !found {
		return nil, model.Refuse(model.CodeUnavailable, "owner %q of database %q is not known", database.Owner, database.ID)
	}
	return p.Peer(host.Host), nil
}

// shouldRetry reports whether work may be sent once more: it did not run, or the endpoint's record keeps a repeat from running twice.
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

// ownerState is what decides where work of a database goes.
type ownerState struct {
	owner   model.HostID
	term    model.Term
	serving bool
}

// ownerState returns where work of the database goes now.
func (p *Proxy) ownerState(id model.DatabaseID) ownerState {
	database := p.View().Databases[id]
	if database == nil {
		return ownerState{}
	}
	return ownerState{owner: database.Owner, term: database.Term, serving: database.Serving && !database.SwitchingOver}
}

// waitForRetry waits until the time has passed or the database stands differently, and reports false when the context ends first.
func (p *Proxy) waitForRetry(ctx context.Context, length time.Duration, id model.DatabaseID, before ownerState) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	for {
		changed := p.Changed()
		if p.ownerState(id) != before {
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
