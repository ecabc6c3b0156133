package fleet

import (
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// Heartbeat is what one host tells another: that it lives, and its news.
type Heartbeat struct {
	From          model.HostID
	Address       model.Address // where the sender answers its peers
	Incarnation   model.Incarnation
	Sequence      model.Sequence
	Configuration model.Version
	Leaving       bool
	Members       []member.Update
	Owners        []OwnerUpdate
	Instances     []InstanceUpdate
}

// OwnerUpdate tells who owns a database; it says where to send work and never who may write.
type OwnerUpdate struct {
	Database model.DatabaseID
	Owner    model.HostID
	Term     model.Term
	Primary  model.InstanceID
}

// InstanceUpdate tells whether the sender reaches an instance.
type InstanceUpdate struct {
	Instance  model.InstanceID
	Term      model.Term
	Reachable bool
	Asked     bool // the sender is the owner and asks others whether they reach the instance
}

// Fleet is what a host knows of the members and the owners, for one that starts while the platform is down.
type Fleet struct {
	Revision  model.Revision
	Hosts     []model.Host
	Instances []model.Instance
	Rows      []model.Ownership
}
