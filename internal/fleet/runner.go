package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/event"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
	"redwingspread/internal/row"
	"redwingspread/internal/spread"
)

// Peers calls other hosts.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the other host's own.
	Heartbeat(ctx context.Context, host model.Host, beat Heartbeat) (Heartbeat, error)
	// Fleet returns what the other host knows of the members and the owners.
	Fleet(ctx context.Context, host model.Host) (Fleet, error)
}

// Runner performs the machine's actions; its exported fields are set before use.
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

// NewRunner returns a runner with the daemon's limits.
func NewRunner() *Runner {
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
func (r *Runner) Do(ctx context.Context, action Action) Event {
	switch action := action.(type) {
	case ReadRows:
		return r.readRows(ctx, action)
	case CommitRow:
		return r.commitRow(ctx, action)
	case ReadMembers:
		return r.readMembers(ctx, action)
	case SendHeartbeat:
		return r.sendHeartbeat(ctx, action)
	case ReadFleet:
		return r.readFleet(ctx, action)
	case InstanceAction:
		return r.callInstance(ctx, action)
	case AnswerHeartbeat:
		action.Answer(action.Beat)
	case AnswerFleet:
		action.Answer(action.Fleet)
	case FetchConfiguration:
		return r.fetchConfiguration(ctx, action)
	case ReportConfiguration:
		r.reportConfiguration(action.Outcome)
	case Note:
		r.log(action)
	}
	return Ended{}
}

// table returns the ownership rows.
func (r *Runner) table() *row.Table {
	return &row.Table{
		Store:      r.Store,
		Unreadable: func(key model.RowKey, err error) { event.RowUnreadable(r.Logger, key, err) },
	}
}

// readRows reads the changed rows.
func (r *Runner) readRows(ctx context.Context, action ReadRows) Event {
	ctx, cancel := context.WithTimeout(ctx, action.Limit)
	defer cancel()
	var result RowsRead
	table := r.table()
	table.Other = func(item platform.Row) { result.Head = r.head(item, result.Head) }
	result.Rows, result.Revision, result.Err = table.Changed(ctx, action.After)
	return result
}

// head returns the head of the configuration's row, or the one before for any other row.
func (r *Runner) head(item platform.Row, before *spread.Head) *spread.Head {
	if item.Key != ledger.RowKey {
		return before
	}
	head, err := ledger.ParseRow(item.Value)
	if err != nil {
		event.RowUnreadable(r.Logger, item.Key, err)
		return before
	}
	return &head
}

// commitRow writes one row by compare-and-set.
func (r *Runner) commitRow(ctx context.Context, action CommitRow) Event {
	ctx, cancel := context.WithTimeout(ctx, action.Limit)
	defer cancel()
	committed, now, err := r.table().Commit(ctx, action.Row)
	return RowCommitted{Database: action.Row.Database, Committed: committed, Row: now, Err: err}
}

// readMembers reads the platform's list.
func (r *Runner) readMembers(ctx context.Context, action ReadMembers) Event {
	ctx, cancel := context.WithTimeout(ctx, action.Limit)
	defer cancel()
	members, err := r.Store.Members(ctx)
	return MembersRead{Hosts: members.Hosts, Instances: members.Instances, Err: err}
}

// sendHeartbeat exchanges heartbeats with one host.
func (r *Runner) sendHeartbeat(ctx context.Context, action SendHeartbeat) Event {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	beat, err := r.Peers.Heartbeat(ctx, action.Host, action.Beat)
	return HeartbeatSent{Host: action.Host.ID, Beat: beat, Err: err}
}

// readFleet asks a peer for the members and the owners.
func (r *Runner) readFleet(ctx context.Context, action ReadFleet) Event {
	ctx, cancel := context.WithTimeout(ctx, r.FleetLimit)
	defer cancel()
	known, err := r.Peers.Fleet(ctx, action.Host)
	return FleetRead{Host: action.Host.ID, Fleet: known, Err: err}
}

// fetchConfiguration gets a configuration from the store or from a peer and checks it.
func (r *Runner) fetchConfiguration(ctx context.Context, action FetchConfiguration) Event {
	runner := ledger.Fetcher{
		Ledger: &ledger.Ledger{Store: r.Store},
		Peer: func(ctx context.Context, _ model.HostID) (model.Version, string, error) {
			return r.Configuration(ctx, action.Host)
		},
	}
	return ConfigurationFetched(runner.Do(ctx, action.Fetch))
}

// reportConfiguration logs what became of a configuration.
func (r *Runner) reportConfiguration(outcome spread.Outcome) {
	if outcome.Policy != nil {
		event.ConfigurationInForce(r.Logger, outcome.Policy.Version, outcome.Source)
	}
	if outcome.Failed != nil {
		event.ConfigurationFetchFailed(r.Logger, outcome.Failed)
	}
	if outcome.Stale != nil {
		event.ConfigurationOlder(r.Logger, outcome.Stale.Stored, outcome.Stale.InForce)
	}
}

// callInstance makes one call of an instance.
func (r *Runner) callInstance(ctx context.Context, action InstanceAction) Event {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	result := InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: action.Instance.ID,
		Term:     action.Term,
	}
	client := r.Instance(action.Instance)
	switch action.Call {
	case CallState:
		result.State, result.Err = client.State(ctx)
	case CallDrain:
		result.State, result.Err = r.drain(ctx, client)
	case CallAdopt:
		result.State, result.Err = r.adopt(ctx, client, action.Term)
	case CallAwait:
		result.State, result.Err = client.Await(ctx, action.Point, r.Limit)
	case CallFence:
		result.State, result.Err = client.Fence(ctx, action.Term)
	case CallPromote:
		result.State, result.Err = client.Promote(ctx, action.Term)
	case CallFollow:
		result.State, result.Err = client.Follow(ctx, action.Term, action.Primary)
	}
	return result
}

// drain reads an instance's state after the time in which work in progress ends.
func (r *Runner) drain(ctx context.Context, client endpoint.Instance) (model.InstanceState, error) {
	timer := time.NewTimer(r.Drain)
	defer timer.Stop()
	select {
	case <-timer.C:
		return client.State(ctx)
	case <-ctx.Done():
		return model.InstanceState{}, ctx.Err()
	}
}

// adopt reads an instance's state until it holds the start of the term.
func (r *Runner) adopt(ctx context.Context, client endpoint.Instance, term model.Term) (model.InstanceState, error) {
	ticker := time.NewTicker(r.Adopt)
	defer ticker.Stop()
	for {
		state, err := client.State(ctx)
		if err != nil || adopted(state, term) {
			return state, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return state, nil
		}
	}
}

// log writes one event of the catalogue.
func (r *Runner) log(note Note) {
	switch note.Kind {
	case NoteHostState:
		event.HostStateChanged(r.Logger, note.Host, string(note.State))
	case NoteClaimed:
		event.DatabaseClaimed(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case NoteServing:
		event.DatabaseServing(r.Logger, note.Database, note.Term, note.Instance)
	case NoteReplaced:
		event.DatabaseReplaced(r.Logger, note.Database, note.Term, note.Host)
	case NotePrimarySilent:
		event.PrimarySilent(r.Logger, note.Database, note.Term, note.Instance)
	case NoteSwitchover:
		event.SwitchoverBegun(r.Logger, note.Database, note.Term, note.Instance, note.To)
	case NoteSwitchoverMissed:
		event.SwitchoverMissed(r.Logger, note.Database, note.Term, note.Instance)
	case NoteGroup:
		event.GroupChanged(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case NoteStoreDown:
		event.StoreUnreachable(r.Logger, note.Err)
	case NoteStoreUp:
		event.StoreReachable(r.Logger)
	case NoteFleetLearnt:
		event.FleetLearnt(r.Logger, note.Host)
	}
}
