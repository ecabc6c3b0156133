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
	// Instance returns the client of an instance.
	Instance func(model.Instance) endpoint.Instance
	// Row reads the row of a database as it is now.
	Row func(ctx context.Context, database model.DatabaseID) (model.Ownership, error)
	// Observe is told of each state that a probe saw; it may be nil.
	Observe func(model.InstanceState)
	// Limit is the time that replicas have to hold a write.
	Limit time.Duration
	// Probe is the time that one probe of a replica or of the row may take.
	Probe time.Duration
	// Hedge is the time after which the row is read in place of silent replicas.
	Hedge time.Duration

	mu    sync.Mutex
	lanes map[laneKey]*lane
}

// laneKey names the lane of one database in one term.
type laneKey struct {
	database model.DatabaseID
	term     model.Term
}

// New returns a gate with the daemon's limits.
func New() *Gate {
	return &Gate{
		Limit: time.Second,
		Probe: 150 * time.Millisecond,
		Hedge: 50 * time.Millisecond,
		lanes: make(map[laneKey]*lane),
	}
}

// Settle returns the durability that the committed write has reached; with an error nothing may be acknowledged.
//
// Writes that wait at the same time share probes; a probe counts only for writes that had been committed when it was sent.
func (g *Gate) Settle(ctx context.Context, database *view.Database, point model.Point, want model.Durability) (model.Durability, error) {
	waiter := newWaiter(database, point, g.attainable(database, want))
	if waiter.settled() {
		return model.DurabilityPrimary, nil
	}
	lane := g.join(ctx, database, waiter)
	defer g.leave(lane, waiter)
	hedge := time.NewTimer(g.Hedge)
	defer hedge.Stop()
	limit := time.NewTimer(g.Limit)
	defer limit.Stop()
	for {
		select {
		case reached := <-waiter.done:
			return reached, nil
		case <-hedge.C:
			lane.hedge(ctx, waiter)
		case <-limit.C:
			return lane.give(waiter)
		case <-ctx.Done():
			return lane.give(waiter)
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
func (g *Gate) join(ctx context.Context, database *view.Database, waiter *waiter) *lane {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := laneKey{database.ID, database.Term}
	joined := g.lanes[key]
	if joined == nil {
		joined = newLane(g, key, database)
		g.lanes[key] = joined
	}
	joined.add(ctx, waiter)
	return joined
}

// leave removes a waiter, and its lane when it was the last.
func (g *Gate) leave(left *lane, waiter *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if left.remove(waiter) == 0 && g.lanes[left.key] == left {
		delete(g.lanes, left.key)
	}
}
