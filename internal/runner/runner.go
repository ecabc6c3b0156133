package runner

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// Peers calls other hosts.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the other host's own.
	Heartbeat(ctx context.Context, host model.Host, beat fleet.Heartbeat) (fleet.Heartbeat, error)
	// Fleet returns what the other host knows of the members and the owners.
	Fleet(ctx context.Context, host model.Host) (fleet.Fleet, error)
}

// Runner performs the actions of the fleet's machine; its exported fields are set before use.
type Runner struct {
	// Store is the platform's service.
	Store platform.Store
	// Instance returns the client of an instance.
	Instance func(model.Instance) endpoint.Instance
	// Peers calls other hosts.
	Peers Peers
	// Logger takes the events of ownership.
	Logger log.Interface
	// Configuration asks another host for the newest configuration that it knows.
	Configuration func(ctx context.Context, host model.Host) (version model.Version, document string, err error)
	// Limit is the time that one call of a peer or an instance may take.
	Limit time.Duration
	// Drain is the time that work in progress has to end before a planned switchover.
	Drain time.Duration
	// Adopt is the time between two looks at a replica that takes a new primary's log over.
	Adopt time.Duration
	// FleetLimit is the time that reading the members and the owners from a peer may take.
	FleetLimit time.Duration
}

// New returns a runner with the daemon's limits.
func New() *Runner {
	return &Runner{
		Logger:     log.Log,
		Limit:      150 * time.Millisecond,
		Drain:      10 * time.Millisecond,
		Adopt:      5 * time.Millisecond,
		FleetLimit: 5 * time.Second,
		Configuration: func(context.Context, model.Host) (model.Version, string, error) {
			return 0, "", errors.New("peers can't be asked")
		},
	}
}

// Do performs one action and returns its result.
func (r *Runner) Do(ctx context.Context, action fleet.Action) fleet.Event {
	switch action := action.(type) {
	case fleet.ReadRows:
		return r.readRows(ctx, action)
	case fleet.CommitRow:
		return r.commitRow(ctx, action)
	case fleet.ReadMembers:
		return r.readMembers(ctx, action)
	case fleet.SendHeartbeat:
		return r.sendHeartbeat(ctx, action)
	case fleet.ReadFleet:
		return r.readFleet(ctx, action)
	case fleet.InstanceAction:
		return r.callInstance(ctx, action)
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.AnswerFleet:
		action.Answer(action.Fleet)
	case fleet.FetchConfiguration:
		return r.fetchConfiguration(ctx, action)
	case fleet.ReportConfiguration:
		r.reportConfiguration(action.Outcome)
	case fleet.LogEntry:
		r.log(action)
	}
	return fleet.ActionEnded{}
}

// sendHeartbeat exchanges heartbeats with one host.
func (r *Runner) sendHeartbeat(ctx context.Context, action fleet.SendHeartbeat) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	beat, err := r.Peers.Heartbeat(ctx, action.Host, action.Heartbeat)
	return fleet.HeartbeatSent{Host: action.Host.ID, Heartbeat: beat, Err: err}
}

// readFleet asks a peer for the members and the owners.
func (r *Runner) readFleet(ctx context.Context, action fleet.ReadFleet) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, r.FleetLimit)
	defer cancel()
	known, err := r.Peers.Fleet(ctx, action.Host)
	return fleet.FleetRead{Host: action.Host.ID, Fleet: known, Err: err}
}
