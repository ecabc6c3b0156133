package view

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// View is a snapshot of the fleet for request handling. It is immutable once published.
type View struct {
	Self      model.HostID // this host
	Hosts     map[model.HostID]Host
	Databases map[model.DatabaseID]*Database
	Policy    *config.Policy // configuration in force
	Stopping  bool           // this host accepts no new work
}

// Liveness is the state of a host as its peers see it.
type Liveness string

// The states.
const (
	Alive   Liveness = "alive"
	Suspect Liveness = "suspect"
	Dead    Liveness = "dead"
	Leaving Liveness = "leaving"
)

// Host is a host and its observed state.
type Host struct {
	model.Host
	Incarnation   model.Incarnation
	Liveness      Liveness
	Configuration model.Version // newest configuration version that the host reported
	LastHeartbeat time.Time     // when its last heartbeat arrived
}

// Database is a database: its owner, its primary and its instances.
type Database struct {
	ID            model.DatabaseID
	Owner         model.HostID
	Term          model.Term
	Primary       model.InstanceID
	Timeline      model.Timeline
	Serving       bool               // this host owns the database and has fenced the primary at Term
	SwitchingOver bool               // a planned switchover is in progress and holds back writes
	Group         []model.InstanceID // instances whose majority a promotion needs
	Instances     []Instance
}

// Instance is a database instance and its last known state.
type Instance struct {
	model.Instance
	State      model.InstanceState
	ObservedAt time.Time // when State was read; zero if never
	Reachable  bool
}

// Instance returns the instance with the id, or nil.
func (d *Database) Instance(id model.InstanceID) *Instance {
	for i := range d.Instances {
		if d.Instances[i].ID == id {
			return &d.Instances[i]
		}
	}
	return nil
}
