package daemon

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/fleet"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/operator"
	"redwingspread/internal/serve"
)

// peerControl is the peer.Control that passes peers' requests to the control loop.
type peerControl struct {
	loop *controlLoop
}

// Heartbeat passes a peer's heartbeat to the control loop and returns this host's own.
func (c *peerControl) Heartbeat(ctx context.Context, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	return query(ctx, c.loop, func(answer func(fleet.Heartbeat)) fleet.Event {
		return fleet.HeartbeatReceived{Heartbeat: heartbeat, Answer: answer}
	})
}

// Fleet returns the members and owners that this host knows.
func (c *peerControl) Fleet(ctx context.Context) (fleet.Fleet, error) {
	return query(ctx, c.loop, func(answer func(fleet.Fleet)) fleet.Event {
		return fleet.FleetRequested{Answer: answer}
	})
}

// query sends an event to the control loop and waits for the answer that the loop passes to the event's callback.
func query[T any](ctx context.Context, loop *controlLoop, newEvent func(answer func(T)) fleet.Event) (T, error) {
	answers := make(chan T, 1)
	var zero T
	if err := loop.Send(ctx, newEvent(func(answer T) { answers <- answer })); err != nil {
		return zero, model.Refuse(model.CodeUnavailable, "control is busy: %v", err)
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return zero, model.Refuse(model.CodeUnavailable, "control is busy: %v", ctx.Err())
	}
}

// Configuration returns the newest configuration that this host knows.
func (c *peerControl) Configuration(context.Context) (model.Version, string, error) {
	policy := c.loop.Snapshot().Policy
	if !policy.Ready() {
		return 0, "", model.Refuse(model.CodeNotFound, "no configuration is in force here")
	}
	document, err := config.Encode(policy.Document)
	return policy.Version, document, err
}

// newSession returns the id of a new session.
func newSession() model.SessionID {
	return model.SessionID(rand.Text())
}

// operatorServer returns the server of the operator API.
func (d *Daemon) operatorServer() *operator.Server {
	server := operator.New()
	server.View = d.loop.Snapshot
	server.Ledger = d.ledger()
	server.Apply = func(_ model.Version, document string, policy *config.Policy) {
		d.loop.Offer(fleet.PolicyAccepted{Policy: policy, Document: document})
	}
	server.Log = d.Logger
	server.FirstOperator = d.firstOperator
	server.Self = d.host
	server.OpenAccess = d.openAccess
	server.Queues = d.queues
	server.Refusals = d.refusals
	server.Replaced = d.replaced.Load
	server.Memory = d.memory
	server.Wrap = func(next http.Handler) http.Handler { return serve.LimitBodies(d.memory, next) }
	return server
}

// ledger returns the ledger of accepted configurations.
func (d *Daemon) ledger() *ledger.Ledger {
	return &ledger.Ledger{
		Store:   d.store,
		Nonce:   newNonce,
		Now:     time.Now,
		InForce: func() model.Version { return d.loop.Snapshot().Policy.Version },
	}
}

// newNonce returns a new unique id for one attempt.
func newNonce() model.Nonce {
	return model.Nonce(rand.Text())
}
