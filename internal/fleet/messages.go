package fleet

import (
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// Heartbeat is what a host sends to its peers: a sign of life, and updates about hosts, owners and instances.
type Heartbeat struct {
	From          model.HostID
	Address       model.Address // peer address of the sender
	Incarnation   model.Incarnation
	Sequence      model.Sequence
	Configuration model.Version
	Leaving       bool
	Members       []member.Update
	Owners        []OwnerUpdate
	Instances     []InstanceUpdate
}

// OwnerUpdate reports who owns a database. It is used for routing and gives nobody the right to write.
type OwnerUpdate struct {
	Database model.DatabaseID
	Owner    model.HostID
	Term     model.Term
	Primary  model.InstanceID
}

// InstanceUpdate reports whether the sender reaches an instance, or asks others whether they do.
type InstanceUpdate struct {
	Instance  model.InstanceID
	Term      model.Term
	Reachable bool
	Asked     bool // the update is a question to the other hosts, from the owner or a likely successor
}

// Fleet is what a host knows about the fleet, for a peer that starts while the platform is down.
type Fleet struct {
	Revision  model.Revision
	Hosts     []model.Host
	Instances []model.Instance
	Rows      []model.Ownership
}
