package ack

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Gate waits until writes that the primary has committed may be acknowledged; set its exported fields before first use.
type Gate struct {
	// Client returns the client of an instance.
	Client func(model.Instance) endpoint.Instance
	// ReadRow reads the current ownership row of a database from the store.
	ReadRow func(ctx context.Context, database model.DatabaseID) (model.Ownership, error)
	// Observe is called with each state that a probe returns; it may be nil.
	Observe func(model.InstanceState)
	// Timeout is the maximum time to wait for the wanted durability.
	Timeout time.Duration
	// ProbeTimeout is the timeout of one probe of a replica or read of the row.
	ProbeTimeout time.Duration
	// HedgeDelay is the time to wait for replicas before the row is read as well.
	HedgeDelay time.Duration

	mu      sync.Mutex
	batches map[batchKey]*batch
}

// batchKey identifies the batch of a database in one term.
type batchKey struct {
	database model.DatabaseID
	term     model.Term
}

// New returns a gate with the timeouts used in production.
func New() *Gate {
	return &Gate{
		Timeout:      time.Second,
		ProbeTimeout: 150 * time.Millisecond,
		HedgeDelay:   50 * time.Millisecond,
		batches:      make(map[batchKey]*batch),
	}
}

// AwaitDurability waits for the wanted durability of a committed write and returns the one reached; it may be lower.
//
// With an error the write may not be acknowledged. Concurrent writes share probes; a probe counts only for writes that had
// been committed when it was sent.
func (g *Gate) AwaitDurability(ctx context.Context, database *view.Database, point model.Point, want model.Durability) (model.Durability, error) {
	waiter := newWaiter(database, point, g.attainable(database, want))
	if waiter.satisfied() {
		return model.DurabilityPrimary, nil
	}
	batch := g.join(ctx, database, waiter)
	defer g.leave(batch, waiter)
	rowDelay := time.NewTimer(g.HedgeDelay)
	defer rowDelay.Stop()
	timeout := time.NewTimer(g.Timeout)
	defer timeout.Stop()
	for {
		select {
		case reached := <-waiter.done:
			return reached, nil
		case <-rowDelay.C:
			batch.allowRow(ctx, waiter)
		case <-timeout.C:
			return batch.result(waiter)
		case <-ctx.Done():
			return batch.result(waiter)
		}
	}
}

// attainable returns the wanted durability, lowered if too few replicas are reachable to attain it.
func (g *Gate) attainable(database *view.Database, want model.Durability) model.Durability {
	if want != model.DurabilityReplica {
		return model.DurabilityPrimary
	}
	reachable := 0
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary && known.Reachable {
			reachable++
		}
	}
	if len(database.Group) < 2 || reachable < len(database.Group)/2 {
		return model.DurabilityPrimary
	}
	return want
}

// join adds a waiter to its batch and starts the probers that it needs.
func (g *Gate) join(ctx context.Context, database *view.Database, waiter *waiter) *batch {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := batchKey{database.ID, database.Term}
	joined := g.batches[key]
	if joined == nil {
		joined = newBatch(g, key, database)
		g.batches[key] = joined
	}
	joined.add(ctx, waiter)
	return joined
}

// leave removes a waiter, and the batch if that was its last one.
func (g *Gate) leave(joined *batch, waiter *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if joined.remove(waiter) == 0 && g.batches[joined.key] == joined {
		delete(g.batches, joined.key)
	}
}
