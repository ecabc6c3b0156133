package controller

import (
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/holder"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
)

// View is the immutable state that the controller publishes to the goroutines that serve sessions.
type View struct {
	Directory *directory.Directory
	Primaries map[model.DatabaseID]Primary
	Shares    map[model.InstanceID]Share
	LiveHosts int           // number of live hosts, this one included
	Ready     bool          // the host accepts new sessions
	Lease     model.Instant // until when this host may use primaries
	// SettledBy is the time by which a host that has just started knows its primaries and may use them, and by which it has a
	// lease again after a host has joined that confirms it.
	SettledBy  model.Instant
	Following  Following   // how this host learns what changes in the store
	Membership *Membership // that other hosts can fetch
	Fleet      *Fleet      // the hosts that this one hears; nil until the hosts' rows have been read
}

// Fleet is the hosts that a host hears, itself included unless it stops; it is immutable.
type Fleet struct {
	Live []Host
	All  []Host // with a row, or heard
}

// outOfTouchWait is the time without a lease after which a host is out of touch; two heartbeats.
const outOfTouchWait = 500 * time.Millisecond

// OutOfTouch reports whether the host may not use primaries and is not likely to regain that right soon.
func (v *View) OutOfTouch(now model.Instant) bool {
	return v.SettledBy != 0 && now.Sub(max(v.Lease, v.SettledBy)) > outOfTouchWait
}

// Primary is a database's primary as this host believes it to be.
type Primary struct {
	Instance     model.InstanceID
	State        failover.State
	ExpectedBack time.Time        // when a primary is expected to be available again; zero when there is nothing to wait for
	Changing     bool             // it is being replaced, or its loss is undecided
	Assigned     lease.Assignment // the only instance that may be used as the primary, unless its token is zero
	Cleared      model.Token      // the promotion that this host may order now, since no host uses another primary
}

// Share is the part of an instance's capacity that this host may use.
type Share struct {
	Slots       model.Slots
	Connections model.Connections
	Scarce      bool        // there are more hosts than connections, so idle connections have to be closed
	Holders     *holder.Set // hosts that keep connections and take requests for it; nil where each host uses its own
	Probes      bool        // this host probes the instance for others, so that it keeps one connection to it
}

// KeepsConnections reports whether the host, whose share it is, keeps connections to the instance.
func (s Share) KeepsConnections(self model.HostID) bool {
	return s.Holders == nil || s.Holders.Includes(self)
}
