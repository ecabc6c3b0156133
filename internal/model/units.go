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

// Milliseconds is a span of time in logs and messages.
type Milliseconds int64

// Load is a mean number of connections in use and wanted, in tenths.
type Load int

// TenthsOfConnection is the load of one connection in use all the time.
const TenthsOfConnection Load = 10

// Mebibytes is an amount of memory.
type Mebibytes int

// Token orders the promotions of a database; it is the fencing token.
type Token uint64

// Instant is a moment of the clock that goes on while the host sleeps, since the host's boot.
type Instant time.Duration

// Add returns the instant that lies the duration later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from the other instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Millis returns a duration in whole milliseconds.
func Millis(d time.Duration) Milliseconds { return Milliseconds(d / time.Millisecond) }

// Duration returns the span as a duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Duration returns the age as a duration.
func (a Age) Duration() time.Duration { return time.Duration(a) }
