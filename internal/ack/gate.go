package ack

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Gate settles writes that the primary has committed; its exported fields are set before use.
type Gate struct {
	// Client returns the client of an instance.
	Client func(model.Instance) endpoint.Instance
	// ReadRow reads the row of a database as it is now.
	ReadRow func(ctx context.Context, database model.DatabaseID) (model.Ownership, error)
	// Observe is told of each state that a probe saw; it may be nil.
	Observe func(model.InstanceState)
	// Timeout is the time that replicas have to hold a write.
	Timeout time.Duration
	// ProbeTimeout is the time that one probe of a replica or of the row may take.
	ProbeTimeout time.Duration
	// HedgeDelay is the time after which the row is read in place of silent replicas.
	HedgeDelay time.Duration

	mu      sync.Mutex
	batches map[batchKey]*batch
}

// batchKey names the lane of one database in one term.
type batchKey struct {
	database model.DatabaseID
	term     model.Term
}

// New returns a gate with the daemon's limits.
func New() *Gate {
	return &Gate{
		Timeout:      time.Second,
		ProbeTimeout: 150 * time.Millisecond,
		HedgeDelay:   50 * time.Millisecond,
		batches:      make(map[batchKey]*batch),
	}
}

// AwaitDurability returns the durability that the committed write has reached; with an error nothing may be acknowledged.
//
// Writes that wait at the same time share probes; a probe counts only for writes that had been committed when it was sent.
func (g *Gate) AwaitDurability(ctx context.Context, database *view.Database, point model.Point, want model.Durability) (model.Durability, error) {
	waiter := newWaiter(database, point, g.attainable(database, want))
	if waiter.satisfied() {
		return model.DurabilityPrimary, nil
	}
	lane := g.join(ctx, database, waiter)
	defer g.leave(lane, waiter)
	hedge := time.NewTimer(g.HedgeDelay)
	defer hedge.Stop()
	limit := time.NewTimer(g.Timeout)
	defer limit.Stop()
	for {
		select {
		case reached := <-waiter.done:
			return reached, nil
		case <-hedge.C:
			lane.allowRow(ctx, waiter)
		case <-limit.C:
			return lane.result(waiter)
		case <-ctx.Done():
			return lane.result(waiter)
		}
	}
}

// attainable lowers the wanted durability when too few replicas are known to answer.
func (g *Gate) attainable(database *view.Database, want model.Durability) model.Durability {
	if want != model.DurabilityReplica {
		return model.DurabilityPrimary
	}
	answering := 0
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary && known.Reachable {
			answering++
		}
	}
	if len(database.Group) < 2 || answering < len(database.Group)/2 {
		return model.DurabilityPrimary
	}
	return want
}

// join adds a waiter to its lane and wakes the probers that it needs.
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

// leave removes a waiter, and its lane when it was the last.
func (g *Gate) leave(left *batch, waiter *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if left.remove(waiter) == 0 && g.batches[left.key] == left {
		delete(g.batches, left.key)
	}
}
