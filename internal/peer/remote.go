package peer

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/peerapi"
)

// remote is the owner.Service of another host.
type remote struct {
	client *Client
	host   model.Host
}

// workCall is a method of the generated client that takes work and returns its result.
type workCall func(*peerapi.Client, context.Context, *peerapi.Work) (*peerapi.WorkResult, error)

// call sends work to the host and returns its result.
func (r *remote) call(ctx context.Context, work model.Work, call workCall) (result model.Result, err error) {
	api, err := r.client.api(r.host.Address)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	message, err := call(api, ctx, encodeWork(work, r.client.Now()))
	if err != nil {
		return result, decodeCallError(err)
	}
	result = decodeResult(message)
	if result.Request != work.Request {
		return model.Result{}, model.OutcomeUnknown("answer is for request %q", result.Request)
	}
	return result, nil
}

// Execute runs a statement at the host.
func (r *remote) Execute(ctx context.Context, work model.Work) (model.Result, error) {
	return r.call(ctx, work, (*peerapi.Client).ForwardStatement)
}

// Begin begins a transaction at the host.
func (r *remote) Begin(ctx context.Context, work model.Work) (model.Result, error) {
	return r.call(ctx, work, (*peerapi.Client).ForwardBegin)
}

// Commit commits a transaction at the host.
func (r *remote) Commit(ctx context.Context, work model.Work) (model.Result, error) {
	return r.call(ctx, work, (*peerapi.Client).ForwardCommit)
}

// Outcome looks up the outcome of a request id at the host.
func (r *remote) Outcome(ctx context.Context, work model.Work) (model.Result, error) {
	return r.call(ctx, work, (*peerapi.Client).ForwardOutcome)
}

// Rollback rolls a transaction back at the host.
func (r *remote) Rollback(ctx context.Context, work model.Work) error {
	api, err := r.client.api(r.host.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	return decodeCallError(api.ForwardRollback(ctx, encodeWork(work, r.client.Now())))
}
