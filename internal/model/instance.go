package model

// Role is what an instance does in its group.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Instance tells where one database instance is.
type Instance struct {
	ID         InstanceID
	Database   DatabaseID
	Address    Address
	DataCentre DataCentreID
	Region     RegionID
	Leaving    bool
}

// InstanceState is what an instance says of itself.
type InstanceState struct {
	Instance        InstanceID
	Database        DatabaseID
	Role            Role
	Term            Term
	Point           Point // newest term whose start the log reaches, and the log's length
	Timeline        Timeline
	Age             Age
	Slots           Slots
	SlotsUsed       Slots
	Connections     Connections
	ConnectionsUsed Connections
	Leaving         bool
}

// Host tells where one host is.
type Host struct {
	ID         HostID
	Address    Address
	DataCentre DataCentreID
	Region     RegionID
	Leaving    bool
}

// Ownership is a database's row in the table service: who may write, and where.
type Ownership struct {
	Database    DatabaseID
	Owner       HostID
	Incarnation Incarnation
	Term        Term
	Primary     InstanceID
	Instances   []InstanceID // the group, whose majority a promotion must fence
	Timeline    Timeline
	Nonce       Nonce
	Version     Version
}
