package endpoint

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/endpointapi"
)

// conn is a Conn that is called over HTTP.
type conn struct {
	api *endpointapi.Client
	id  model.ConnectionID
}

// ID returns the connection's id.
func (c *conn) ID() model.ConnectionID {
	return c.id
}

// Run runs one statement in the term, alone or in the open transaction.
func (c *conn) Run(ctx context.Context, term model.Term, work model.Work) (result model.Result, state model.InstanceState, err error) {
	params := endpointapi.RunStatementParams{Connection: string(c.id)}
	answer, err := c.api.RunStatement(ctx, encodeStatement(term, work), params)
	if err != nil {
		return result, state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeResult(work.Request, *answer)
}

// Begin begins a transaction.
func (c *conn) Begin(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	params := endpointapi.BeginTransactionParams{Connection: string(c.id)}
	answer, err := c.api.BeginTransaction(ctx, &endpointapi.TermRequest{Term: uint64(term)}, params)
	if err != nil {
		return state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeState(*answer), nil
}

// Commit commits the open transaction under the request id.
func (c *conn) Commit(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, state model.InstanceState, err error) {
	params := endpointapi.CommitTransactionParams{Connection: string(c.id)}
	message := &endpointapi.CommitRequest{Term: uint64(term), Request: string(request)}
	answer, err := c.api.CommitTransaction(ctx, message, params)
	if err != nil {
		return result, state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeResult(request, *answer)
}

// Rollback rolls the open transaction back.
func (c *conn) Rollback(ctx context.Context) error {
	err := c.api.RollbackTransaction(ctx, endpointapi.RollbackTransactionParams{Connection: string(c.id)})
	return decodeError(err, outbound.MayHaveRun)
}

// Close closes the connection, which rolls back its open transaction.
func (c *conn) Close(ctx context.Context) error {
	err := c.api.CloseConnection(ctx, endpointapi.CloseConnectionParams{Connection: string(c.id)})
	return decodeError(err, outbound.MayHaveRun)
}
