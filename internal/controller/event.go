package controller

import (
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// Event is something that control learns.
type Event interface{ event() }

// Tick comes at regular times with what traffic saw of the instances.
type Tick struct {
	Instances []InstanceReport
}

// InstanceReport is what traffic knows of one instance.
type InstanceReport struct {
	failover.Health
	Load model.Load
}

// DirectoryUpdate is what a source tells of the directory.
type DirectoryUpdate struct {
	Source        string
	Revision      model.Revision
	Full          bool // Entries holds all of them
	Configuration *directory.Configuration
	Entries       []directory.Entry // in the order of their changes
}

// MembershipUpdate is what the hosts' own rows tell.
type MembershipUpdate struct {
	Full       bool // Hosts holds all of them
	Hosts      []Host
	Removed    []model.HostID
	Promotions []Promotion
}

// Host is another host as its row or its beats describe it.
type Host struct {
	ID          model.HostID
	Address     model.Address
	DataCentre  model.DataCentreID
	Incarnation model.Incarnation
}

// Promotion is the row of a database's newest promotion.
type Promotion struct {
	Database model.DatabaseID
	failover.Lead
	Nonce    model.Nonce    // of the attempt that wrote the row
	Revision model.Revision // of the row, for the next change; zero when there is none
}

// Heartbeat is what a host tells the others at regular times.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence
	Leaving     bool
	Version     model.Version
	Revision    model.Revision
	Primaries   map[model.DatabaseID]failover.Sight
	Loads       map[model.InstanceID]model.Load // nil when the beat does not tell loads
}

// HeartbeatReceived is a beat of another host and the address that it came from.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	From      model.Address
}

// DirectoryFetchDone ends the fetch of another host's directory.
type DirectoryFetchDone struct {
	Host   model.HostID
	Update *DirectoryUpdate // nil when the fetch failed
	Err    error
}

// PrimaryChangeDone ends a change of a primary.
type PrimaryChangeDone struct {
	Database  model.DatabaseID
	Instance  model.InstanceID
	Promotion *Promotion // the row as it stands, when it was read or written
	Err       error
}

// Stop tells that the host is to stop.
type Stop struct{}

// ActionDone ends an action that tells nothing.
type ActionDone struct{}

func (Tick) event()               {}
func (DirectoryUpdate) event()    {}
func (MembershipUpdate) event()   {}
func (HeartbeatReceived) event()  {}
func (DirectoryFetchDone) event() {}
func (PrimaryChangeDone) event()  {}
func (Stop) event()               {}
func (ActionDone) event()         {}

// Action is something that control wants done outside its goroutine.
type Action interface{ action() }

// SendHeartbeat sends a beat to hosts.
type SendHeartbeat struct {
	To        []model.Address
	Heartbeat Heartbeat
}

// FetchDirectory fetches another host's directory.
type FetchDirectory struct {
	Host    model.HostID
	Address model.Address
}

// ProbeInstances has instances prove whether they lead.
type ProbeInstances struct {
	Instances []model.InstanceID
}

// ChangePrimary has another instance lead a database.
type ChangePrimary struct {
	Database  model.DatabaseID
	Primary   directory.Instance // the one that leads or led
	Replicas  []directory.Instance
	Demote    bool      // the primary is reached; it stops before the change, so that no commit is lost
	Promotion Promotion // the newest row that is known
	Since     time.Time
	Reason    string
}

// DeleteHostRow removes the row of a host that is gone for good.
type DeleteHostRow struct {
	Host model.HostID
}

func (SendHeartbeat) action()  {}
func (FetchDirectory) action() {}
func (ProbeInstances) action() {}
func (ChangePrimary) action()  {}
func (DeleteHostRow) action()  {}
