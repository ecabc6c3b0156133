package model

import "time"

// Statement is one operation on a database, which the system passes on unread.
type Statement struct {
	Kind      KindID
	Access    Access
	Operation string
	Arguments map[string]string
}

// Work is one request on its way from a proxy to an endpoint.
type Work struct {
	Origin        HostID
	Request       RequestID
	Database      DatabaseID
	Session       SessionID
	Statement     Statement
	MinPoint      Point         // the answer must cover this point
	TokenComplete bool          // the session's token tells all it has seen of the database
	MaxAge        *Age          // nil for read-your-writes
	MaxWait       time.Duration // time the instance may wait to cover Least
	Transaction   TransactionID // empty outside a transaction
	Deadline      time.Time
}

// Row is one row of an answer, by column.
type Row map[string]string

// Result is the outcome of work that ran.
type Result struct {
	Request       RequestID
	Done          bool   // false when it ran and failed without a change
	FailureReason string // why it failed
	Rows          []Row
	Repeated      bool // recorded by an earlier run of the same request id
	Point         Point
	Instance      InstanceID
	Role          Role
	Durability    Durability
	Transaction   TransactionID
	Term          Term
	Primary       InstanceID
	Replicas      []ReplicaState
}

// ReplicaState is the owner's newest knowledge of one replica.
type ReplicaState struct {
	Instance InstanceID
	Term     Term
	Point    Point
	Age      Age
	Leaving  bool
}
