package controller

import (
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

// Event is an input of the controller.
type Event interface{ event() }

// Tick is the periodic event; it carries what the goroutines that serve sessions observed of the instances.
type Tick struct {
	Instances []InstanceReport
	Boot      model.Instant // when the reports were made
	StoreLost bool          // a poll of the store has failed and none of the same table has succeeded since
}

// InstanceReport is what the goroutines that serve sessions observed of one instance.
type InstanceReport struct {
	failover.Health
	Load     model.Load
	Released model.Token // assignment of another instance for which this one is no longer used as a primary
	Proof    scout.Proof // newest position that it proved to this host as the primary
}

// DirectoryUpdate is a change of the directory, or a full copy of it.
type DirectoryUpdate struct {
	Source        string                   // where the update was read, for the log
	Position      model.StorePosition      // up to which Entries are complete
	Newest        model.StorePosition      // of the newest change that the source knows; zero when it doesn't tell
	Full          bool                     // Entries lists every instance
	Configuration *directory.Configuration // nil when the update carries none
	Entries       []directory.Entry        // in the order of their changes
}

// MembershipUpdate is a change of the hosts' rows in the store, or a full copy of them.
type MembershipUpdate struct {
	Position   model.StorePosition // up to which the update is complete
	Full       bool                // Hosts lists every host
	Hosts      []Host
	Removed    []model.HostID
	Promotions []Promotion
}

// Host is a host as its row or its heartbeats describe it.
type Host struct {
	ID          model.HostID
	Address     model.Address
	DataCentre  model.DataCentreID
	Incarnation model.Incarnation
	Lone        bool          // it may renew its lease from the store
	Relay       model.Address // where it takes requests that other hosts pass on; empty for none
}

// Promotion is the store's row of the newest promotion in a database.
type Promotion struct {
	Database model.DatabaseID
	failover.Promotion
	Nonce    model.Nonce         // of the attempt that wrote the row
	Position model.StorePosition // of the row, expected by the next write; its revision is zero when there is no row
	Claim    model.Revision      // of the row that guards the promotions of the position's era; zero when there is none
}

// Heartbeat is the message that a host sends to the others periodically.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence // rises with each heartbeat of an incarnation
	Leaving     bool
	Version     model.Version                             // of the sender's configuration
	Position    model.StorePosition                       // of the sender's directory
	Rows        model.StorePosition                       // of the hosts' rows that the sender knows
	Undated     bool                                      // the positions have no era, as those of hosts of the release before
	Follows     bool                                      // the sender polls the store and reaches it
	Packing     model.Packing                             // that the sender can read
	Primaries   map[model.DatabaseID]failover.Observation // of the primaries that some host finds silent
	Loads       map[model.InstanceID]model.Load           // nil when the heartbeat carries no loads
	Lease       *lease.Message                            // nil where the platform fences primaries
	Asked       model.Instant                             // a question for positions, by its time on the sender's clock; zero for none
	Proofs      []scout.Proof                             // the answer to questions of the receiver
}

// HeartbeatReceived reports a heartbeat of another host and its source address.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
	From      model.Address
	ArrivedAt model.Instant // not before its arrival; set when it has a question
}

// DirectoryFetchDone reports the result of a FetchDirectory.
type DirectoryFetchDone struct {
	Host       model.HostID
	Update     *DirectoryUpdate  // nil when the fetch failed
	Membership *MembershipUpdate // nil when the other host has no newer rows
	Err        error
}

// PrimaryChangeDone reports the result of a ChangePrimary.
type PrimaryChangeDone struct {
	Database  model.DatabaseID
	Instance  model.InstanceID // chosen for promotion; empty when none was
	Promotion *Promotion       // the current row, when it was read or written
	Err       error
}

// PromotionClaimed reports that this host has written a promotion row, and that the order waits until no host uses the
// replaced primary any more.
type PromotionClaimed struct {
	Promotion Promotion
	Hosts     []Host // the hosts' rows as read after the promotion row was written; empty when they could not be read
}

// PromotionsRead reports the result of a ReadPromotions.
type PromotionsRead struct {
	SentAt model.Instant
	Update *MembershipUpdate // nil when the read failed
}

// Stop reports that the host is shutting down.
type Stop struct{}

// ActionDone reports the end of an action without a result.
type ActionDone struct{}

func (Tick) event()               {}
func (DirectoryUpdate) event()    {}
func (MembershipUpdate) event()   {}
func (HeartbeatReceived) event()  {}
func (DirectoryFetchDone) event() {}
func (PrimaryChangeDone) event()  {}
func (PromotionClaimed) event()   {}
func (PromotionsRead) event()     {}
func (Stop) event()               {}
func (ActionDone) event()         {}

// Action is an output of the controller, carried out outside its goroutine.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to hosts.
type SendHeartbeat struct {
	To        []Receiver
	Heartbeat Heartbeat // without the confirmations in its lease part
}

// Receiver is a receiver of a heartbeat.
type Receiver struct {
	Address model.Address
	Heard   model.Instant // confirmation of the receiver's newest heartbeat; zero for none
	Packing model.Packing // that the receiver can read
}

// FetchDirectory fetches the directory from another host.
type FetchDirectory struct {
	Host    model.HostID
	Address model.Address
}

// ProbeInstances checks whether the instances are primaries.
type ProbeInstances struct {
	Instances []model.InstanceID
}

// ChangePrimary promotes another instance of a database.
type ChangePrimary struct {
	Database  model.DatabaseID
	Primary   directory.Instance   // the current or lost primary
	Replicas  []directory.Instance // the other instances, and the primary if it says that it is a replica
	Demoted   bool                 // the primary led, and says by now that it is a replica
	Sync      bool                 // a commit is acknowledged once a replica has received it, and must not be lost then
	Demote    bool                 // the primary is reachable and is demoted first, so that no commit is lost
	Promotion Promotion            // newest known row
	Since     time.Time            // first failure of a silent primary, or last proof of a leading one
	Reason    string
	Release   time.Duration // longest time for which other hosts may still use the primary; zero where the platform fences it
}

// ObserveProofs passes on positions that primaries proved to another host.
type ObserveProofs struct {
	Proofs []scout.Proof
}

// ReadPromotions makes the host's row say that the host is alone and reads all promotion rows, which renews the lease of a host
// that hears only a minority of the hosts.
type ReadPromotions struct{}

// DeleteHostRow deletes the store's row of a host that is gone for good.
type DeleteHostRow struct {
	Host model.HostID
}

func (SendHeartbeat) action()  {}
func (FetchDirectory) action() {}
func (ProbeInstances) action() {}
func (ChangePrimary) action()  {}
func (ObserveProofs) action()  {}
func (ReadPromotions) action() {}
func (DeleteHostRow) action()  {}
