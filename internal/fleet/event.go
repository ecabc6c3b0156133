package fleet

import (
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// Event is what the control machine is told.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// StateObserved tells that traffic or a probe saw an instance's state.
type StateObserved struct{ State model.InstanceState }

// InstanceFailed tells that traffic could not reach an instance.
type InstanceFailed struct {
	Instance model.InstanceID
	Term     model.Term
}

// HeartbeatReceived is a heartbeat from another host; Answer, when set, takes this host's own.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	Answer    func(Heartbeat)
}

// Redirected tells that a peer refused work because another host owns the database.
type Redirected struct {
	Database model.DatabaseID
	Owner    model.HostID
	Term     model.Term
}

// PolicyAccepted brings a checked configuration and its text.
type PolicyAccepted struct {
	Policy   *config.Policy
	Document string
}

// ConfigurationFetched is the result of FetchConfiguration.
type ConfigurationFetched rollout.Fetched

// Stop begins the graceful stop: every database is handed over.
type Stop struct{}

// ActionEnded reports an action without a result.
type ActionEnded struct{}

// RowsRead is the result of ReadRows.
type RowsRead struct {
	Rows     []model.Ownership
	Header   *rollout.Header // the configuration's row, when it changed
	Revision model.Revision
	Err      error
}

// RowCommitted is the result of CommitRow; with Err set its effect is unknown.
type RowCommitted struct {
	Database  model.DatabaseID
	Committed bool
	Row       model.Ownership // the row as it is now
	Err       error
}

// MembersRead is the result of ReadMembers.
type MembersRead struct {
	Hosts     []model.Host
	Instances []model.Instance
	Err       error
}

// HeartbeatSent is the result of SendHeartbeat: the peer's own heartbeat.
type HeartbeatSent struct {
	Host      model.HostID
	Heartbeat Heartbeat
	Err       error
}

// FleetRequested is a starting peer's question for the members and the owners.
type FleetRequested struct{ Answer func(Fleet) }

// FleetRead is the result of ReadFleet.
type FleetRead struct {
	Host  model.HostID
	Fleet Fleet
	Err   error
}

// InstanceResult is the result of an action on an instance.
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
func (HeartbeatSent) event()        {}
func (FleetRequested) event()       {}
func (FleetRead) event()            {}
func (InstanceResult) event()       {}
func (ConfigurationFetched) event() {}
