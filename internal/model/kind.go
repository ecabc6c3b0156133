package model

import "time"

// Consistency tells which commits the reads of a kind of work must see.
type Consistency uint8

// The levels of consistency.
const (
	ReadLatest     Consistency = iota // every acknowledged commit
	ReadBounded                       // commits acknowledged longer ago than the kind's age
	ReadYourWrites                    // as ReadAged, and every commit of the same session
)

// Kind is one kind of work as the operators configured it.
type Kind struct {
	ID          KindID
	Database    DatabaseID
	Consistency Consistency
	MaxAge      Age           // greatest age of what a read may miss; unused with ReadNewest
	Timeout     time.Duration // of one statement
	Goal        time.Duration // of a whole operation
	Rank        Rank
}

// Database is one database as the operators configured it.
type Database struct {
	ID          DatabaseID
	Connections Connections // that an instance takes from all hosts together
	SyncCommit  bool        // a commit is acknowledged once a replica holds it
}
