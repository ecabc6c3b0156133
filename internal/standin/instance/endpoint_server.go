package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/endpointapi"
)

// endpointServer implements the endpoint API.
type endpointServer struct {
	instance *Instance
}

// OpenConnection opens a connection.
func (s endpointServer) OpenConnection(ctx context.Context, m *endpointapi.ConnectionRequest) (*endpointapi.Connection, error) {
	id, state, err := s.instance.open(ctx, model.HostID(m.Host), model.DatabaseID(m.Database), model.Term(m.Term))
	if err != nil {
		return nil, err
	}
	return &endpointapi.Connection{Connection: string(id), State: *stateMessage(state)}, nil
}

// CloseConnection closes a connection and rolls back its open transaction.
func (s endpointServer) CloseConnection(ctx context.Context, p endpointapi.CloseConnectionParams) error {
	return tell(ctx, s.instance, func(c *core) error {
		c.close(model.ConnectionID(p.Connection))
		return nil
	})
}

// RunStatement runs a statement on the connection.
func (s endpointServer) RunStatement(ctx context.Context, m *endpointapi.StatementRequest, p endpointapi.RunStatementParams) (*endpointapi.StatementResult, error) {
	r, err := s.instance.run(ctx, model.ConnectionID(p.Connection), model.Term(m.Term), workOf(m))
	if err != nil {
		return nil, err
	}
	return resultMessage(m.Request, r), nil
}

// BeginTransaction starts a transaction on the connection.
func (s endpointServer) BeginTransaction(ctx context.Context, m *endpointapi.TermRequest, p endpointapi.BeginTransactionParams) (*endpointapi.InstanceState, error) {
	return s.runCommand(ctx, func(c *core, now time.Time) (model.InstanceState, error) {
		return c.begin(now, model.ConnectionID(p.Connection), model.Term(m.Term))
	})
}

// CommitTransaction commits the open transaction and records its outcome under the request id.
func (s endpointServer) CommitTransaction(ctx context.Context, m *endpointapi.CommitRequest, p endpointapi.CommitTransactionParams) (*endpointapi.StatementResult, error) {
	r, err := s.instance.commit(ctx, model.ConnectionID(p.Connection), model.Term(m.Term), model.RequestID(m.Request))
	if err != nil {
		return nil, err
	}
	return resultMessage(m.Request, r), nil
}

// RollbackTransaction rolls back the open transaction.
func (s endpointServer) RollbackTransaction(ctx context.Context, p endpointapi.RollbackTransactionParams) error {
	return tell(ctx, s.instance, func(c *core) error {
		return c.rollback(s.instance.Now(), model.ConnectionID(p.Connection))
	})
}

// GetOutcome returns the recorded outcome of a request id.
func (s endpointServer) GetOutcome(ctx context.Context, p endpointapi.GetOutcomeParams) (*endpointapi.RecordedOutcome, error) {
	r, err := ask(ctx, s.instance, func(c *core) (reply, error) {
		now := s.instance.Now()
		result, found, err := c.outcome(now, model.Term(p.Term), model.RequestID(p.Request))
		return reply{result: result, state: c.state(now), found: found}, err
	})
	if err != nil {
		return nil, err
	}
	recorded := &endpointapi.RecordedOutcome{Found: r.found, State: *stateMessage(r.state)}
	if r.found {
		recorded.Result = endpointapi.NewOptStatementResult(*resultMessage(p.Request, r))
	}
	return recorded, nil
}

// GetState returns the instance's state, optionally after waiting for its log to reach a point.
func (s endpointServer) GetState(ctx context.Context, p endpointapi.GetStateParams) (*endpointapi.InstanceState, error) {
	point := model.Point{Term: model.Term(p.LeastTerm.Or(0)), Position: model.Position(p.LeastPosition.Or(0))}
	state, err := s.instance.awaitPoint(ctx, point, time.Duration(p.WaitMs.Or(0))*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return stateMessage(state), nil
}

// Fence raises the instance's term.
func (s endpointServer) Fence(ctx context.Context, m *endpointapi.TermRequest) (*endpointapi.InstanceState, error) {
	return s.runCommand(ctx, func(c *core, now time.Time) (model.InstanceState, error) {
		return c.fence(now, model.Term(m.Term))
	})
}

// Promote makes the instance the primary of the term.
func (s endpointServer) Promote(ctx context.Context, m *endpointapi.TermRequest) (*endpointapi.InstanceState, error) {
	return s.runCommand(ctx, func(c *core, now time.Time) (model.InstanceState, error) {
		return c.promote(now, model.Term(m.Term))
	})
}

// Follow makes the instance a replica of the term's primary.
func (s endpointServer) Follow(ctx context.Context, m *endpointapi.FollowRequest) (*endpointapi.InstanceState, error) {
	return s.runCommand(ctx, func(c *core, now time.Time) (model.InstanceState, error) {
		return c.follow(now, model.Term(m.Term), model.Address(m.Address))
	})
}

// runCommand runs a command that results in the instance's state.
func (s endpointServer) runCommand(ctx context.Context, command func(*core, time.Time) (model.InstanceState, error)) (*endpointapi.InstanceState, error) {
	state, err := ask(ctx, s.instance, func(c *core) (model.InstanceState, error) {
		return command(c, s.instance.Now())
	})
	if err != nil {
		return nil, err
	}
	return stateMessage(state), nil
}

// httpStatuses maps refusal codes to HTTP statuses. Codes that are not listed map to 409 Conflict.
var httpStatuses = map[model.Code]int{
	model.CodeInvalid:           http.StatusBadRequest,
	model.CodeUnknownOperation:  http.StatusBadRequest,
	model.CodeUnknownConnection: http.StatusNotFound,
	model.CodeSlotsFull:         http.StatusTooManyRequests,
	model.CodeConnectionsFull:   http.StatusTooManyRequests,
	model.CodeUnavailable:       http.StatusServiceUnavailable,
	model.CodeLeaving:           http.StatusServiceUnavailable,
}

// NewError translates an error to a response.
func (s endpointServer) NewError(_ context.Context, err error) *endpointapi.RefusalStatusCode {
	refusal, ok := errors.AsType[*model.Refusal](err)
	if !ok {
		response := endpointapi.Refusal{Code: endpointapi.RefusalCodeInternal, Message: err.Error()}
		return &endpointapi.RefusalStatusCode{StatusCode: http.StatusInternalServerError, Response: response}
	}
	response := endpointapi.Refusal{
		Code:    endpointapi.RefusalCode(refusal.Code),
		NotRun:  refusal.NotRun,
		Message: refusal.Message,
	}
	if refusal.State != nil {
		response.State = endpointapi.NewOptInstanceState(*stateMessage(*refusal.State))
	}
	status, found := httpStatuses[refusal.Code]
	if !found {
		status = http.StatusConflict
	}
	return &endpointapi.RefusalStatusCode{StatusCode: status, Response: response}
}
