package model

import "time"

// Term is incremented with each change of a database's owner or primary. It serves as the fencing token.
type Term uint64

// Position is the number of an entry in a database's log, counted from 1.
type Position uint64

// Incarnation identifies one run of a host by its start time, in nanoseconds since the Unix epoch.
type Incarnation uint64

// Packing is a form of compression of messages between hosts; zero is none.
type Packing uint

// Sequence is the number of a heartbeat within one incarnation.
type Sequence uint64

// Version is incremented with each change of a row or of the configuration.
type Version uint64

// Revision is incremented with each change anywhere in the table.
type Revision uint64

// Age is a staleness: how far a copy of the data is, or may be, behind the primary.
type Age time.Duration

// Slots is a number of statements that an instance runs concurrently.
type Slots int

// Connections is a number of connections to an instance.
type Connections int

// Percent is a share in percent.
type Percent int

// Milliseconds is a duration in whole milliseconds, as logs and messages have it.
type Milliseconds int64

// Load is the mean number of connections in use and waited for, in tenths of a connection.
type Load int

// TenthsOfConnection is the load of one connection in constant use.
const TenthsOfConnection Load = 10

// Mebibytes is an amount of memory in MiB.
type Mebibytes int

// Bytes is an amount of memory in bytes.
type Bytes int64

// Bytes returns the amount in bytes.
func (m Mebibytes) Bytes() Bytes { return Bytes(m) << 20 }

// Token is the platform's fencing token, which orders the promotions of a database.
type Token uint64

// Instant is a point in time on a clock that also runs in suspend, as the time since the host's boot.
type Instant time.Duration

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Millis returns a duration in whole milliseconds, rounded toward zero.
func Millis(d time.Duration) Milliseconds { return Milliseconds(d / time.Millisecond) }

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Duration returns a as a time.Duration.
func (a Age) Duration() time.Duration { return time.Duration(a) }
