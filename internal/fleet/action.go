package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/internal/view"
)

// Action is a request of the machine to the code that runs it and does the I/O.
type Action interface{ action() }

// ReadRows reads the ownership rows that changed after a revision.
type ReadRows struct {
	After   model.Revision
	Timeout time.Duration
}

// CommitRow writes a row, provided that the stored row still has the version that Row carries.
type CommitRow struct {
	Row     model.Ownership
	Timeout time.Duration
}

// ReadMembers reads the platform's list of hosts and instances.
type ReadMembers struct{ Timeout time.Duration }

// SendHeartbeat sends a heartbeat to another host.
type SendHeartbeat struct {
	Host      model.Host
	Heartbeat Heartbeat
}

// AnswerHeartbeat passes this host's heartbeat to the peer interface as the answer to a received one.
type AnswerHeartbeat struct {
	Answer    func(Heartbeat)
	Heartbeat Heartbeat
}

// ReadFleet asks a peer for the hosts, instances and ownership rows that it knows.
type ReadFleet struct{ Host model.Host }

// AnswerFleet passes the hosts, instances and ownership rows that this host knows to the peer interface.
type AnswerFleet struct {
	Answer func(Fleet)
	Fleet  Fleet
}

// FetchConfiguration fetches a newer configuration from the store or from a peer.
type FetchConfiguration struct {
	Fetch rollout.Action
	Host  model.Host // peer to fetch from; empty for a fetch from the store
}

// ReportConfiguration logs the outcome of an event of the configuration rollout.
type ReportConfiguration struct{ Outcome rollout.Effects }

// LogKind is the kind of a log entry.
type LogKind int

// Kinds of log entries.
const (
	LogHostState LogKind = iota
	LogClaimed
	LogServing
	LogReplaced
	LogPrimarySilent
	LogSwitchover
	LogSwitchoverMissed
	LogGroupChange
	LogStoreDown
	LogStoreUp
	LogFleetLearned
)

// LogEntry writes a decision of the machine to the log. Only the fields that its kind needs are set.
type LogEntry struct {
	Kind     LogKind
	Database model.DatabaseID
	Host     model.HostID
	State    view.Liveness
	Instance model.InstanceID
	To       model.InstanceID
	Term     model.Term
	Reason   string
	Err      error
}

// Call is the kind of a call to an instance.
type Call string

// Kinds of calls to an instance.
const (
	CallState   Call = "state"
	CallAwait   Call = "await"
	CallDrain   Call = "drain" // reads the state after running work has had time to end
	CallFence   Call = "fence"
	CallPromote Call = "promote"
	CallFollow  Call = "follow"
	CallAdopt   Call = "adopt" // reads the state once the instance holds the start of the term
)

// InstanceAction makes one call to an instance in a term.
type InstanceAction struct {
	Call     Call
	Instance model.Instance
	Term     model.Term
	Point    model.Point    // position to wait for; set for CallAwait
	Primary  model.Instance // set for CallFollow and CallAdopt
}

func (ReadRows) action()            {}
func (CommitRow) action()           {}
func (ReadMembers) action()         {}
func (SendHeartbeat) action()       {}
func (AnswerHeartbeat) action()     {}
func (ReadFleet) action()           {}
func (AnswerFleet) action()         {}
func (LogEntry) action()            {}
func (InstanceAction) action()      {}
func (FetchConfiguration) action()  {}
func (ReportConfiguration) action() {}
