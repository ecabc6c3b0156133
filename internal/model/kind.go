package model

import "time"

// Consistency is the set of commits that the reads of a kind of work must see.
type Consistency uint8

// The levels of consistency.
const (
	ReadLatest     Consistency = iota // all acknowledged commits
	ReadBounded                       // bounded staleness: commits acknowledged longer ago than the kind's MaxAge
	ReadYourWrites                    // as ReadBounded, and all commits of the same session
)

// Kind is the configuration of a kind of work on the hosts that serve sessions (package front); the hosts that forward work to
// the owner of its database (package proxy) use config.Kind.
type Kind struct {
	ID          KindID
	Database    DatabaseID
	Consistency Consistency
	MaxAge      Age           // maximum staleness of a read; unused with ReadLatest
	Timeout     time.Duration // time limit of one statement
	Goal        time.Duration // target duration of a whole operation
	Rank        Rank
	Public      bool // callers need no API key
}

// Database is the configuration of a database.
type Database struct {
	ID          DatabaseID
	Connections Connections // maximum that an instance accepts from all hosts together
	SyncCommit  bool        // a commit is acknowledged once a replica holds it
}
