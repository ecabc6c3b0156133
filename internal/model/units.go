package model

import "time"

// Term counts the changes of a database's owner or primary; it is the fencing token.
type Term uint64

// Position counts the entries of a database's log.
type Position uint64

// Incarnation tells two runs of one host apart: the start time in nanoseconds.
type Incarnation uint64

// Sequence counts the heartbeats of one incarnation.
type Sequence uint64

// Version counts the changes of one row or of the configuration.
type Version uint64

// Revision counts the changes of the whole table.
type Revision uint64

// Age is how far data may lie or lies behind the primary.
type Age time.Duration

// Slots counts the statements that an instance runs at once.
type Slots int

// Connections counts the connections of an instance.
type Connections int

// Percent is a share in hundredths.
type Percent int
