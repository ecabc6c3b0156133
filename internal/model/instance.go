package model

// Role is the role of an instance in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // from a raise of its term until it is promoted or follows a primary
)

// Instance is the address and location of a database instance.
type Instance struct {
	ID         InstanceID
	Database   DatabaseID
	Address    Address
	DataCentre DataCentreID
	Region     RegionID
	Leaving    bool
}

// InstanceState is the state that an instance reports.
type InstanceState struct {
	Instance        InstanceID
	Database        DatabaseID
	Role            Role
	Term            Term
	Point           Point // newest term whose start the log has reached, and the log's length
	Timeline        Timeline
	Age             Age
	Slots           Slots
	SlotsUsed       Slots
	Connections     Connections
	ConnectionsUsed Connections
	Leaving         bool
}

// Host is the address and location of a host.
type Host struct {
	ID         HostID
	Address    Address
	DataCentre DataCentreID
	Region     RegionID
	Leaving    bool
}

// Ownership is a database's row in the table service: the host that may write and the primary that it writes to.
type Ownership struct {
	Database    DatabaseID
	Owner       HostID
	Incarnation Incarnation
	Term        Term
	Primary     InstanceID
	Instances   []InstanceID // the database's group; a promotion must fence a majority of it
	Timeline    Timeline
	Nonce       Nonce
	Version     Version
}
