package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/fleet"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/operator"
)

// peerControl answers what peers ask of the control loop.
type peerControl struct {
	loop *controlLoop
}

// Heartbeat hands a peer's heartbeat to the control loop and returns this host's own.
func (c *peerControl) Heartbeat(ctx context.Context, beat fleet.Heartbeat) (fleet.Heartbeat, error) {
	return ask(ctx, c.loop, func(answer func(fleet.Heartbeat)) fleet.Event {
		return fleet.HeartbeatIn{Beat: beat, Answer: answer}
	})
}

// Fleet returns what this host knows of the members and the owners.
func (c *peerControl) Fleet(ctx context.Context) (fleet.Fleet, error) {
	return ask(ctx, c.loop, func(answer func(fleet.Fleet)) fleet.Event {
		return fleet.FleetAsked{Answer: answer}
	})
}

// ask sends the control loop an event that carries a question and waits for its answer.
func ask[T any](ctx context.Context, loop *controlLoop, question func(answer func(T)) fleet.Event) (T, error) {
	answers := make(chan T, 1)
	var none T
	if err := loop.Send(ctx, question(func(answer T) { answers <- answer })); err != nil {
		return none, model.Refuse(model.CodeUnavailable, "control is busy: %v", err)
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, model.Refuse(model.CodeUnavailable, "control is busy: %v", ctx.Err())
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

// newSession names a new session.
func newSession() model.SessionID {
	return model.SessionID(rand.Text())
}

// operatorServer returns the operator interface.
func (d *Daemon) operatorServer() *operator.Server {
	server := operator.New()
	server.View = d.loop.Snapshot
	server.Ledger = d.ledger()
	server.Apply = func(_ model.Version, document string, policy *config.Policy) {
		d.loop.Offer(fleet.PolicyAccepted{Policy: policy, Document: document})
	}
	server.Log = d.Logger
	server.FirstOperator = d.first
	server.Self = d.host
	server.Open = d.open
	server.Queues = d.queues
	server.Refusals = d.refusals
	return server
}

// ledger returns the book of accepted configurations.
func (d *Daemon) ledger() *ledger.Ledger {
	return &ledger.Ledger{
		Store:   d.store,
		Nonce:   newNonce,
		Now:     time.Now,
		InForce: func() model.Version { return d.loop.Snapshot().Policy.Version },
	}
}

// newNonce returns a fresh mark of an attempt.
func newNonce() model.Nonce {
	return model.Nonce(rand.Text())
}
