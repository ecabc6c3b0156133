package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
	"redwingspread/internal/spread"
)

// RowPrefix is the common start of the keys of ownership rows.
const RowPrefix model.RowKey = "owner/"

// allRows is the prefix of every row of the table, so that one poll reads what changed of owners and of the configuration.
const allRows model.RowKey = ""

// Peers calls other hosts.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the other host's own.
	Heartbeat(ctx context.Context, host model.Host, beat Heartbeat) (Heartbeat, error)
	// Configuration returns the newest configuration that the other host knows.
	Configuration(ctx context.Context, host model.Host) (model.Version, string, error)
}

// Runner performs the machine's actions; its exported fields are set before use.
type Runner struct {
	// Store is the platform's service.
	Store platform.Store
	// Instance returns the client of an instance.
	Instance func(model.Instance) endpoint.Instance
	// Peers calls other hosts.
	Peers Peers
	// Log takes the events.
	Log log.Interface
	// Limit is the time that one call of a peer or an instance may take.
	Limit time.Duration
	// StoreLimit is the time that one call of the platform may take.
	StoreLimit time.Duration
}

// NewRunner returns a runner with the daemon's limits.
func NewRunner() *Runner {
	return &Runner{Log: log.Log, Limit: 150 * time.Millisecond, StoreLimit: time.Second}
}

// Do performs one action and returns its result.
func (r *Runner) Do(ctx context.Context, action Action) Event {
	switch action := action.(type) {
	case ReadRows:
		return r.readRows(ctx, action)
	case CommitRow:
		return r.commitRow(ctx, action)
	case ReadMembers:
		return r.readMembers(ctx)
	case SendHeartbeat:
		return r.sendHeartbeat(ctx, action)
	case AnswerHeartbeat:
		action.Answer(action.Beat)
	case ReportConfiguration:
		r.reportConfiguration(action.Outcome)
	case FetchConfiguration:
		return r.fetchConfiguration(ctx, action)
	case InstanceAction:
		return r.callInstance(ctx, action)
	}
	return Ended{}
}

// readRows reads the changed rows: those of owners and the one of the configuration.
func (r *Runner) readRows(ctx context.Context, action ReadRows) Event {
	ctx, cancel := context.WithTimeout(ctx, r.StoreLimit)
	defer cancel()
	rows, revision, err := r.Store.Rows(ctx, allRows, action.After)
	if err != nil {
		return RowsRead{Err: err}
	}
	result := RowsRead{Revision: revision}
	for _, row := range rows {
		if err := result.add(row); err != nil {
			return RowsRead{Err: err}
		}
	}
	return result
}

// add takes one row of the table.
func (r *RowsRead) add(row platform.Row) error {
	if row.Key == spread.RowKey {
		head, err := spread.ParseRow(row.Value)
		r.Head = &head
		return err
	}
	if !strings.HasPrefix(string(row.Key), string(RowPrefix)) {
		return nil
	}
	ownership, err := decodeRow(row)
	r.Rows = append(r.Rows, ownership)
	return err
}

// commitRow writes one row by compare-and-set.
func (r *Runner) commitRow(ctx context.Context, action CommitRow) Event {
	ctx, cancel := context.WithTimeout(ctx, r.StoreLimit)
	defer cancel()
	key := RowPrefix + model.RowKey(action.Row.Database)
	result := RowCommitted{Database: action.Row.Database}
	value, err := encodeRow(action.Row)
	if err != nil {
		result.Err = err
		return result
	}
	checks := []platform.Check{{Key: key, Version: action.Row.Version}}
	commit, err := r.Store.Commit(ctx, checks, []platform.Put{{Key: key, Value: value}})
	if err != nil {
		result.Err = err
		return result
	}
	result.Committed = commit.Committed
	for _, row := range commit.Rows {
		if row.Key == key && row.Version > 0 {
			result.Row, result.Err = decodeRow(row)
		}
	}
	return result
}

// readMembers reads the platform's list.
func (r *Runner) readMembers(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, r.StoreLimit)
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

// fetchConfiguration gets a configuration from the store or from a peer and checks it.
func (r *Runner) fetchConfiguration(ctx context.Context, action FetchConfiguration) Event {
	runner := spread.Runner{
		Ledger: &spread.Ledger{Store: r.Store},
		Peer: func(ctx context.Context, _ model.HostID) (model.Version, string, error) {
			return r.Peers.Configuration(ctx, action.Host)
		},
	}
	return ConfigurationFetched(runner.Do(ctx, action.Fetch))
}

// reportConfiguration logs what became of a configuration.
func (r *Runner) reportConfiguration(outcome spread.Outcome) {
	if outcome.Policy != nil {
		event.ConfigurationInForce(r.Log, outcome.Policy.Version, outcome.Source)
	}
	if outcome.Failed != nil {
		event.ConfigurationFetchFailed(r.Log, outcome.Failed)
	}
	if outcome.Stale != nil {
		event.ConfigurationOlder(r.Log, outcome.Stale.Stored, outcome.Stale.InForce)
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

// ownerRow is the text of a row.
type ownerRow struct {
	Owner       model.HostID       `json:"owner"`
	Incarnation model.Incarnation  `json:"incarnation"`
	Term        model.Term         `json:"term"`
	Primary     model.InstanceID   `json:"primary"`
	Instances   []model.InstanceID `json:"instances"`
	Timeline    model.Timeline     `json:"timeline"`
	Nonce       model.Nonce        `json:"nonce"`
}

// encodeRow returns the text of a row.
func encodeRow(row model.Ownership) (string, error) {
	text, err := json.Marshal(ownerRow{row.Owner, row.Incarnation, row.Term, row.Primary, row.Instances, row.Timeline, row.Nonce})
	return string(text), err
}

// decodeRow reads a row.
func decodeRow(row platform.Row) (ownership model.Ownership, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("row %s: %w", row.Key, err)
		}
	}()
	var text ownerRow
	if err := json.Unmarshal([]byte(row.Value), &text); err != nil {
		return model.Ownership{}, err
	}
	return model.Ownership{
		Database:    model.DatabaseID(row.Key[len(RowPrefix):]),
		Owner:       text.Owner,
		Incarnation: text.Incarnation,
		Term:        text.Term,
		Primary:     text.Primary,
		Instances:   text.Instances,
		Timeline:    text.Timeline,
		Nonce:       text.Nonce,
		Version:     row.Version,
	}, nil
}
