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
	// Heartbeat sends a heartbeat and returns the heartbeat of the other host.
	Heartbeat(ctx context.Context, host model.Host, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error)
	// Fleet returns the members and the owners that the other host knows.
	Fleet(ctx context.Context, host model.Host) (fleet.Fleet, error)
}

// Runner performs the actions of the fleet state machine. Set its exported fields before use.
type Runner struct {
	// Store is the platform's table service and object store.
	Store platform.Store
	// InstanceClient returns a client of the instance.
	InstanceClient func(model.Instance) endpoint.Instance
	// Peers calls other hosts.
	Peers Peers
	// Logger receives the events.
	Logger log.Interface
	// PeerConfiguration fetches the newest configuration that another host knows.
	PeerConfiguration func(ctx context.Context, host model.Host) (version model.Version, document string, err error)
	// CallTimeout limits a heartbeat, and a call to an instance.
	CallTimeout time.Duration
	// DrainTime is how long work in progress may take to finish before a planned switchover.
	DrainTime time.Duration
	// AdoptInterval is the time between two polls of a replica that adopts the log of a new primary.
	AdoptInterval time.Duration
	// FleetTimeout limits the call that reads the members and the owners from a peer.
	FleetTimeout time.Duration
}

// New returns a runner with the timeouts that a host uses.
func New() *Runner {
	return &Runner{
		Logger:        log.Log,
		CallTimeout:   150 * time.Millisecond,
		DrainTime:     10 * time.Millisecond,
		AdoptInterval: 5 * time.Millisecond,
		FleetTimeout:  5 * time.Second,
		PeerConfiguration: func(context.Context, model.Host) (model.Version, string, error) {
			return 0, "", errors.New("no client for peer configurations")
		},
	}
}

// Do performs one action and returns the event of its result, which is fleet.ActionEnded for actions without one.
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
		r.logEntry(action)
	}
	return fleet.ActionEnded{}
}

// sendHeartbeat exchanges heartbeats with one host.
func (r *Runner) sendHeartbeat(ctx context.Context, action fleet.SendHeartbeat) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	heartbeat, err := r.Peers.Heartbeat(ctx, action.Host, action.Heartbeat)
	return fleet.HeartbeatResult{Host: action.Host.ID, Heartbeat: heartbeat, Err: err}
}

// readFleet reads the members and the owners from a peer.
func (r *Runner) readFleet(ctx context.Context, action fleet.ReadFleet) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, r.FleetTimeout)
	defer cancel()
	known, err := r.Peers.Fleet(ctx, action.Host)
	return fleet.FleetRead{Host: action.Host.ID, Fleet: known, Err: err}
}
