package governor

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
	Health []Report
}

// Report is what traffic knows of one instance.
type Report struct {
	failover.Health
	Load model.Load
}

// News is what a source tells of the directory.
type News struct {
	Source        string
	Revision      model.Revision
	Whole         bool // Entries holds all of them
	Configuration *directory.Configuration
	Entries       []directory.Entry // in the order of their changes
}

// Roster is what the hosts' own rows tell.
type Roster struct {
	Whole   bool // Hosts holds all of them
	Hosts   []Host
	Removed []model.HostID
	Leads   []Lead
}

// Host is another host as its row or its beats describe it.
type Host struct {
	ID          model.HostID
	Address     model.Address
	DataCentre  model.DataCentreID
	Incarnation model.Incarnation
}

// Lead is the row of a database's newest promotion.
type Lead struct {
	Database model.DatabaseID
	failover.Promotion
	Nonce    model.Nonce    // of the attempt that wrote the row
	Revision model.Revision // of the row, for the next change; zero when there is none
}

// Beat is what a host tells the others at regular times.
type Beat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence
	Leaving     bool
	Version     model.Version
	Revision    model.Revision
	Sights      map[model.DatabaseID]failover.Observation
	Loads       map[model.InstanceID]model.Load // nil when the beat does not tell loads
}

// Heard is a beat of another host and the address that it came from.
type Heard struct {
	Beat Beat
	From model.Address
}

// Fetched ends the fetch of another host's directory.
type Fetched struct {
	Host model.HostID
	News *News // nil when the fetch failed
	Err  error
}

// Changed ends a change of a primary.
type Changed struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Lead     *Lead // the row as it stands, when it was read or written
	Err      error
}

// Stop tells that the host is to stop.
type Stop struct{}

// Acted ends an action that tells nothing.
type Acted struct{}

func (Tick) event()    {}
func (News) event()    {}
func (Roster) event()  {}
func (Heard) event()   {}
func (Fetched) event() {}
func (Changed) event() {}
func (Stop) event()    {}
func (Acted) event()   {}

// Action is something that control wants done outside its goroutine.
type Action interface{ action() }

// Send sends a beat to hosts.
type Send struct {
	To   []model.Address
	Beat Beat
}

// Fetch fetches another host's directory.
type Fetch struct {
	Host    model.HostID
	Address model.Address
}

// Probe has instances prove whether they lead.
type Probe struct {
	Instances []model.InstanceID
}

// Change has another instance lead a database.
type Change struct {
	Database model.DatabaseID
	Primary  directory.Instance // the one that leads or led
	Replicas []directory.Instance
	Demote   bool // the primary is reached; it stops before the change, so that no commit is lost
	Lead     Lead // the newest row that is known
	Since    time.Time
	Reason   string
}

// Forget removes the row of a host that is gone for good.
type Forget struct {
	Host model.HostID
}

func (Send) action()   {}
func (Fetch) action()  {}
func (Probe) action()  {}
func (Change) action() {}
func (Forget) action() {}
