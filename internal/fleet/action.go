package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/internal/view"
)

// Action is what the control machine asks its runner to do.
type Action interface{ action() }

// ReadRows asks for the ownership rows that changed after a revision.
type ReadRows struct {
	After   model.Revision
	Timeout time.Duration
}

// CommitRow asks to write a row if it still has the version that the new row carries.
type CommitRow struct {
	Row     model.Ownership
	Timeout time.Duration
}

// ReadMembers asks for the platform's list.
type ReadMembers struct{ Timeout time.Duration }

// SendHeartbeat sends a heartbeat to another host.
type SendHeartbeat struct {
	Host      model.Host
	Heartbeat Heartbeat
}

// AnswerHeartbeat hands this host's heartbeat to the peer interface.
type AnswerHeartbeat struct {
	Answer    func(Heartbeat)
	Heartbeat Heartbeat
}

// ReadFleet asks a peer for the members and the owners.
type ReadFleet struct{ Host model.Host }

// AnswerFleet hands the members and the owners to the peer interface.
type AnswerFleet struct {
	Answer func(Fleet)
	Fleet  Fleet
}

// FetchConfiguration asks the store, or a peer, for a newer configuration.
type FetchConfiguration struct {
	Fetch rollout.Action
	Host  model.Host // the peer, when the fetch names one
}

// ReportConfiguration logs what became of a configuration.
type ReportConfiguration struct{ Outcome rollout.Outcome }

// LogKind names what a note tells.
type LogKind int

// The kinds of notes.
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

// LogEntry asks to log what was decided; the fields that its kind needs are set.
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

// Call names one action on an instance.
type Call string

// The actions on an instance.
const (
	CallState   Call = "state"
	CallAwait   Call = "await"
	CallDrain   Call = "drain" // state, after the time in which work in progress ends
	CallFence   Call = "fence"
	CallPromote Call = "promote"
	CallFollow  Call = "follow"
	CallAdopt   Call = "adopt" // state, once the instance holds the start of the term
)

// InstanceAction is one call of an instance in a term.
type InstanceAction struct {
	Call     Call
	Instance model.Instance
	Term     model.Term
	Point    model.Point    // set with CallAwait
	Primary  model.Instance // set with CallFollow
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
