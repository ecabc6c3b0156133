package peer

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/peerapi"
)

// handler implements the generated server interface of the peer API.
type handler struct {
	server *Server
}

// serviceCall is a method of owner.Service that returns a result.
type serviceCall func(context.Context, model.Work) (model.Result, error)

// run decodes work, passes it to call with its deadline and encodes the result.
func (h *handler) run(ctx context.Context, message *peerapi.Work, call serviceCall) (*peerapi.WorkResult, error) {
	work := decodeWork(message, h.server.Now())
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	result, err := call(ctx, work)
	if err != nil {
		return nil, err
	}
	return encodeResult(result), nil
}

// ForwardStatement runs a statement at this host.
func (h *handler) ForwardStatement(ctx context.Context, message *peerapi.Work) (*peerapi.WorkResult, error) {
	return h.run(ctx, message, h.server.Service.Execute)
}

// ForwardBegin begins a transaction at this host.
func (h *handler) ForwardBegin(ctx context.Context, message *peerapi.Work) (*peerapi.WorkResult, error) {
	return h.run(ctx, message, h.server.Service.Begin)
}

// ForwardCommit commits a transaction at this host.
func (h *handler) ForwardCommit(ctx context.Context, message *peerapi.Work) (*peerapi.WorkResult, error) {
	return h.run(ctx, message, h.server.Service.Commit)
}

// ForwardOutcome looks up the outcome of a request id at this host.
func (h *handler) ForwardOutcome(ctx context.Context, message *peerapi.Work) (*peerapi.WorkResult, error) {
	return h.run(ctx, message, h.server.Service.Outcome)
}

// ForwardRollback rolls a transaction back at this host.
func (h *handler) ForwardRollback(ctx context.Context, message *peerapi.Work) error {
	work := decodeWork(message, h.server.Now())
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	return h.server.Service.Rollback(ctx, work)
}

// GetConfiguration returns the newest configuration that this host knows.
func (h *handler) GetConfiguration(ctx context.Context) (*peerapi.Configuration, error) {
	version, document, err := h.server.Control.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	return &peerapi.Configuration{Version: uint64(version), Document: document}, nil
}

// GetFleet returns the members and owners that this host knows.
func (h *handler) GetFleet(ctx context.Context) (*peerapi.Fleet, error) {
	known, err := h.server.Control.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	return encodeFleet(known), nil
}

// Heartbeat processes a peer's heartbeat and returns this host's own.
func (h *handler) Heartbeat(ctx context.Context, message *peerapi.Heartbeat) (*peerapi.Heartbeat, error) {
	if err := checkSender(ctx, model.HostID(message.From)); err != nil {
		return nil, err
	}
	heartbeat, err := h.server.Control.Heartbeat(ctx, decodeHeartbeat(message))
	if err != nil {
		return nil, err
	}
	return EncodeHeartbeat(heartbeat), nil
}

// NewError translates an error into a refusal message.
func (h *handler) NewError(_ context.Context, err error) *peerapi.RefusalStatusCode {
	return encodeRefusal(err)
}
