package model

import "time"

// Statement is an operation on a database. The system does not interpret the operation or its arguments.
type Statement struct {
	Kind      KindID
	Access    Access
	Operation string
	Arguments map[string]string
}

// Work is a request on its way from a proxy to an endpoint.
type Work struct {
	Origin        HostID // host that received the request
	Request       RequestID
	Database      DatabaseID
	Session       SessionID
	Statement     Statement
	MinPoint      Point         // the answer must reflect the log up to this point
	TokenComplete bool          // the session's token holds everything that the session has observed of the database
	MaxAge        *Age          // maximum staleness of the answer; nil if none is set, so that only MinPoint bounds it
	MaxWait       time.Duration // longest time that the instance may wait for its log to reach MinPoint
	Transaction   TransactionID // empty outside a transaction
	Deadline      time.Time     // time at which the request times out
}

// Row is one row of a result, by column name.
type Row map[string]string

// Result is the result of a request that ran.
type Result struct {
	Request       RequestID
	Succeeded     bool   // false if it ran and failed without a change
	FailureReason string // reason of the failure when Succeeded is false
	Rows          []Row
	Repeated      bool // the result was recorded by an earlier run of the same request id
	Point         Point
	Instance      InstanceID
	Role          Role
	Durability    Durability
	Transaction   TransactionID
	Term          Term
	Primary       InstanceID
	Replicas      []ReplicaState
}

// ReplicaState is the last state of a replica that the owner knows.
type ReplicaState struct {
	Instance InstanceID
	Term     Term
	Point    Point
	Age      Age
	Leaving  bool
}
