package view

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// View is everything that traffic may know of the fleet; it never changes once published.
type View struct {
	Self      model.HostID
	Hosts     map[model.HostID]Host
	Databases map[model.DatabaseID]*Database
	Policy    *config.Policy // configuration in force
	Stopping  bool           // this host takes no new work
}

// Liveness is what the hosts think of one host.
type Liveness string

// The states of a host.
const (
	Alive   Liveness = "alive"
	Suspect Liveness = "suspect"
	Dead    Liveness = "dead"
	Leaving Liveness = "leaving"
)

// Host is one host of the system.
type Host struct {
	model.Host
	Incarnation   model.Incarnation
	Liveness      Liveness
	Configuration model.Version // newest configuration that the host reported
	LastHeartbeat time.Time     // when its last heartbeat came
}

// Database is one database: who may write, and where its instances are.
type Database struct {
	ID            model.DatabaseID
	Owner         model.HostID
	Term          model.Term
	Primary       model.InstanceID
	Timeline      model.Timeline
	Serving       bool               // this host owns the database and has fenced its primary at the term
	SwitchingOver bool               // a planned switchover is under way: writes wait
	Group         []model.InstanceID // the instances whose majority decides
	Instances     []Instance
}

// Instance is one instance and the newest that is known of it.
type Instance struct {
	model.Instance
	State      model.InstanceState
	ObservedAt time.Time // when the state was read; zero when never
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
