package front

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/boundary"
	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

const (
	probeTimeout = 250 * time.Millisecond // several round trips between regions
	storeTimeout = time.Second            // per call; a slow store takes a few hundred milliseconds
)

// execute carries out one action of the control loop and returns the event that completes it, also when it panics.
func (h *Host) execute(ctx context.Context, action controller.Action) (completed controller.Event) {
	err := boundary.Run(func() error {
		completed = h.perform(ctx, action)
		return nil
	})
	if err == nil {
		return completed
	}
	event.PanicCaught(h.Logger, fmt.Sprintf("action %T", action), err)
	switch action := action.(type) {
	case controller.FetchDirectory:
		return controller.DirectoryFetchDone{Host: action.Host, Err: err}
	case controller.ChangePrimary:
		return controller.PrimaryChangeDone{Database: action.Database, Err: err}
	case controller.ReadPromotions:
		return controller.PromotionsRead{}
	}
	return controller.ActionDone{}
}

// perform carries out one action.
func (h *Host) perform(ctx context.Context, action controller.Action) controller.Event {
	switch action := action.(type) {
	case controller.SendHeartbeat:
		if err := h.mesh.SendHeartbeat(action.To, action.Heartbeat); err != nil {
			event.DependencyLost(h.Logger, "datagrams", err)
		}
	case controller.FetchDirectory:
		update, membership, err := h.mesh.Fetch(ctx, action.Host, action.Address)
		if err != nil {
			event.DependencyLost(h.Logger, "directory of host "+string(action.Host), err)
		}
		return controller.DirectoryFetchDone{Host: action.Host, Update: update, Membership: membership, Err: err}
	case controller.ProbeInstances:
		h.probeAll(ctx, action.Instances)
		return h.newTick()
	case controller.ChangePrimary:
		return h.replacePrimary(ctx, action)
	case controller.ObserveProofs:
		h.observeProofs(action.Proofs)
	case controller.ReadPromotions:
		return h.readPromotions(ctx)
	case controller.DeleteHostRow:
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := h.Platform.DeleteHost(callCtx, action.Host); err != nil {
			event.DependencyLost(h.Logger, "store: row of host "+string(action.Host), err)
		}
	}
	return controller.ActionDone{}
}

// observeProofs records positions that primaries proved to another host.
func (h *Host) observeProofs(proofs []scout.Proof) {
	now := time.Now()
	for _, proof := range proofs {
		if b := h.backend(proof.Instance); b != nil && b.instance.Database == proof.Database {
			b.noteRemoteProof(now, proof)
		}
	}
}

// readPromotions makes the host's row say that it is alone and reads the hosts' own table, with the time at which the read was
// sent.
func (h *Host) readPromotions(ctx context.Context) controller.PromotionsRead {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lone := h.self
	lone.Lone = true
	if !h.lone.Load() {
		if err := h.Platform.WriteHost(callCtx, lone); err != nil {
			event.DependencyLost(h.Logger, "store: own row", err)
			return controller.PromotionsRead{}
		}
		h.lone.Store(true)
	}
	result := controller.PromotionsRead{SentAt: clock.Boot()}
	rows, _, err := h.Platform.Hosts(callCtx, model.StorePosition{}, 0)
	if err != nil {
		event.DependencyLost(h.Logger, "store: promotions", err)
		return result
	}
	result.Update = &rows.MembershipUpdate
	return result
}

// probeAll probes instances concurrently and waits for all of them.
func (h *Host) probeAll(ctx context.Context, ids []model.InstanceID) {
	ended := make(chan error, len(ids))
	version := h.view().Directory.Version
	for _, id := range ids {
		b := h.backend(id)
		if b == nil {
			ended <- nil
			continue
		}
		go func() { ended <- b.probe(ctx, version) }()
	}
	for range ids {
		<-ended
	}
}

// probe checks whether the instance is the primary by beginning a transaction, which only a primary accepts and which takes no slot.
//
// If an idle connection gets no response, only that connection may have failed, so a new one decides.
//
// An instance without free connections is not probed: the probe would take one that sessions wait for.
func (b *backend) probe(ctx context.Context, version model.Version) error {
	begun := time.Now()
	if b.skipsProbe(begun) {
		return nil
	}
	err := b.withConn(ctx, func(c *pooledConn) error { return b.beginAhead(version, c) })
	if err != nil && model.CodeOf(err) == "" && ctx.Err() == nil {
		b.noteFailure(begun)
	}
	return err
}

// beginAhead begins a transaction for the connection's next use and records the result.
func (b *backend) beginAhead(version model.Version, c *pooledConn) error {
	response, err := c.begin(b, nil, time.Now().Add(probeTimeout))
	if err != nil {
		return err
	}
	c.setBegun(version, response.Succeeded())
	return nil
}

// withConn runs a call on an idle connection of the instance, or on a new one that is closed afterwards.
func (b *backend) withConn(ctx context.Context, call func(c *pooledConn) error) error {
	if c, found := b.scheduler.Borrow(); found {
		reusable := c.Alive() && call(c) == nil
		b.scheduler.Return(c, reusable)
		if reusable {
			return nil
		}
	}
	c, err := b.open(ctx, "")
	if err != nil {
		return err
	}
	err = call(c)
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	return err
}
