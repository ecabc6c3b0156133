package fleet

import (
	"redwingspread/internal/model"
	"redwingspread/internal/spread"
)

// Action is what the control machine asks its runner to do.
type Action interface{ action() }

// ReadRows asks for the ownership rows that changed after a revision.
type ReadRows struct{ After model.Revision }

// CommitRow asks to write a row if it still has the version that the new row carries.
type CommitRow struct{ Row model.Ownership }

// ReadMembers asks for the platform's list.
type ReadMembers struct{}

// SendHeartbeat sends a heartbeat to another host.
type SendHeartbeat struct {
	Host model.Host
	Beat Heartbeat
}

// AnswerHeartbeat hands this host's heartbeat to the peer interface.
type AnswerHeartbeat struct {
	Answer func(Heartbeat)
	Beat   Heartbeat
}

// FetchConfiguration asks the store, or a peer, for a newer configuration.
type FetchConfiguration struct {
	Fetch spread.Action
	Host  model.Host // the peer, when the fetch names one
}

// ReportConfiguration logs what became of a configuration.
type ReportConfiguration struct{ Outcome spread.Outcome }

// Call names one action on an instance.
type Call string

// The actions on an instance.
const (
	CallState   Call = "state"
	CallAwait   Call = "await"
	CallFence   Call = "fence"
	CallPromote Call = "promote"
	CallFollow  Call = "follow"
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
func (FetchConfiguration) action()  {}
func (ReportConfiguration) action() {}
func (InstanceAction) action()      {}
