package fleet

import (
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets the machine act on the time that has passed.
type Tick struct{}

// StateObserved reports the state of an instance as seen by traffic or a probe.
type StateObserved struct{ State model.InstanceState }

// InstanceFailed reports that traffic could not reach an instance.
type InstanceFailed struct {
	Instance model.InstanceID
	Term     model.Term
}

// HeartbeatReceived reports a heartbeat from another host. Answer, if set, takes this host's own heartbeat.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	Answer    func(Heartbeat)
}

// Redirected reports that a peer refused work because another host owns the database.
type Redirected struct {
	Database model.DatabaseID
	Owner    model.HostID
	Term     model.Term
}

// PolicyAccepted reports a configuration that passed the checks and was accepted on this host, with its text in Document.
type PolicyAccepted struct {
	Policy   *config.Policy
	Document string
}

// ConfigurationFetched is the result of FetchConfiguration.
type ConfigurationFetched rollout.Fetched

// Stop begins the graceful stop, in which every database is handed over.
type Stop struct{}

// ActionEnded reports the end of an action that has no result.
type ActionEnded struct{}

// RowsRead is the result of ReadRows.
type RowsRead struct {
	Rows     []model.Ownership
	Header   *rollout.Header // header in the configuration's row, if that row changed
	Revision model.Revision
	Err      error
}

// RowCommitted is the result of CommitRow. If Err is set, it is unknown whether the row was written.
type RowCommitted struct {
	Database  model.DatabaseID
	Committed bool
	Row       model.Ownership // current row
	Err       error
}

// MembersRead is the result of ReadMembers.
type MembersRead struct {
	Hosts     []model.Host
	Instances []model.Instance
	Err       error
}

// HeartbeatResult is the result of SendHeartbeat, with the peer's own heartbeat.
type HeartbeatResult struct {
	Host      model.HostID
	Heartbeat Heartbeat
	Err       error
}

// FleetRequested is the request of a starting peer for the hosts, instances and ownership rows.
type FleetRequested struct{ Answer func(Fleet) }

// FleetRead is the result of ReadFleet.
type FleetRead struct {
	Host  model.HostID
	Fleet Fleet
	Err   error
}

// InstanceResult is the result of InstanceAction.
type InstanceResult struct {
	Call     Call
	Database model.DatabaseID
	Instance model.InstanceID
	Term     model.Term
	State    model.InstanceState
	Err      error
}

func (Tick) event()                 {}
func (StateObserved) event()        {}
func (InstanceFailed) event()       {}
func (HeartbeatReceived) event()    {}
func (Redirected) event()           {}
func (PolicyAccepted) event()       {}
func (Stop) event()                 {}
func (ActionEnded) event()          {}
func (RowsRead) event()             {}
func (RowCommitted) event()         {}
func (MembersRead) event()          {}
func (HeartbeatResult) event()      {}
func (FleetRequested) event()       {}
func (FleetRead) event()            {}
func (InstanceResult) event()       {}
func (ConfigurationFetched) event() {}
