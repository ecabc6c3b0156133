package runner

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
)

// callInstance makes one call to an instance.
func (r *Runner) callInstance(ctx context.Context, action fleet.InstanceAction) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	result := fleet.InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: action.Instance.ID,
		Term:     action.Term,
	}
	client := r.InstanceClient(action.Instance)
	switch action.Call {
	case fleet.CallState:
		result.State, result.Err = client.State(ctx)
	case fleet.CallDrain:
		result.State, result.Err = r.drain(ctx, client)
	case fleet.CallAdopt:
		result.State, result.Err = r.adopt(ctx, client, action.Term)
	case fleet.CallAwait:
		result.State, result.Err = client.Await(ctx, action.Point, r.CallTimeout)
	case fleet.CallFence:
		result.State, result.Err = client.Fence(ctx, action.Term)
	case fleet.CallPromote:
		result.State, result.Err = client.Promote(ctx, action.Term)
	case fleet.CallFollow:
		result.State, result.Err = client.Follow(ctx, action.Term, action.Primary)
	}
	return result
}

// drain gives work in progress DrainTime to finish, then reads the instance's state.
func (r *Runner) drain(ctx context.Context, client endpoint.Instance) (model.InstanceState, error) {
	if err := clock.Pause(ctx, r.DrainTime); err != nil {
		return model.InstanceState{}, err
	}
	return client.State(ctx)
}

// adopt polls an instance's state until the instance has replicated the log up to the start of the term, or the context ends.
func (r *Runner) adopt(ctx context.Context, client endpoint.Instance, term model.Term) (model.InstanceState, error) {
	ticker := time.NewTicker(r.AdoptInterval)
	defer ticker.Stop()
	for {
		state, err := client.State(ctx)
		if err != nil || fleet.Adopted(state, term) {
			return state, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return state, nil
		}
	}
}
