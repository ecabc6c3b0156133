package ack

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Gate settles writes that the primary has committed; its exported fields are set before use.
type Gate struct {
	// Instance returns the client of an instance.
	Instance func(model.Instance) endpoint.Instance
	// Row reads the row of a database.
	Row func(ctx context.Context, database model.DatabaseID) (model.Ownership, error)
	// Limit is the time that replicas have to hold a write.
	Limit time.Duration
}

// New returns a gate with the daemon's limit.
func New() *Gate {
	return &Gate{Limit: time.Second}
}

// Settle returns the durability that the committed write has reached; with an error nothing may be acknowledged.
func (g *Gate) Settle(ctx context.Context, database *view.Database, point model.Point, want model.Durability) (model.Durability, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*g.Limit)
	defer cancel()
	tally := &Tally{Term: database.Term, Point: point, Group: len(database.Group)}
	others := g.others(database)
	states := make(chan model.InstanceState, len(others))
	for _, other := range others {
		go g.probe(ctx, other, point, want, states)
	}
	for range others {
		state := <-states
		if state.Instance == "" {
			continue
		}
		tally.Replica(state)
		if reached, ok := tally.Reached(); ok && enough(reached, want) {
			return reached, nil
		}
	}
	if reached, ok := tally.Reached(); ok {
		return reached, nil
	}
	return g.settleByRow(ctx, database.ID, tally)
}

// enough reports whether the durability is at least the wanted one.
func enough(reached, want model.Durability) bool {
	return reached == model.DurabilityReplica || want != model.DurabilityReplica
}

// others returns the instances of the group besides the primary.
func (g *Gate) others(database *view.Database) []model.Instance {
	var others []model.Instance
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary {
			others = append(others, known.Instance)
		}
	}
	return others
}

// probe reads one instance's state and reports it, or an empty state when there was no answer.
func (g *Gate) probe(ctx context.Context, instance model.Instance, point model.Point, want model.Durability, states chan<- model.InstanceState) {
	client := g.Instance(instance)
	var state model.InstanceState
	var err error
	if want == model.DurabilityReplica {
		state, err = client.Await(ctx, point, g.Limit)
	} else {
		state, err = client.State(ctx)
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.State != nil {
		state, err = *refusal.State, nil
	}
	if err != nil || state.Instance != instance.ID {
		state = model.InstanceState{}
	}
	states <- state
}

// settleByRow takes the row for the witness when the replicas did not answer.
func (g *Gate) settleByRow(ctx context.Context, database model.DatabaseID, tally *Tally) (model.Durability, error) {
	row, err := g.Row(ctx, database)
	if err == nil {
		tally.Row(row)
	}
	if reached, ok := tally.Reached(); ok {
		return reached, nil
	}
	return model.DurabilityNone, model.Doubt("no witness that the primary was still in term %d", tally.Term)
}
