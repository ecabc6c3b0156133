package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Reason tells why an instance was chosen, or why none was.
type Reason uint8

// The reasons of a choice.
const (
	None          Reason = iota // no instance may serve the work now
	Primary                     // only the primary may serve the work
	Current                     // the replica is known to hold the least point
	Recent                      // the replica's data is not older than accepted
	CatchingUp                  // the replica is expected to hold the least point soon
	PrimaryFaster               // a replica would do, but the primary answers sooner
	NoReplica                   // no replica may serve the read
	Lost                        // the log has gone on without the least point
)

// Loads tells the expected time that new work waits for a slot of an instance.
type Loads interface {
	// Delay returns the expected wait at the instance.
	Delay(instance model.InstanceID) time.Duration
}

// Request is what a piece of work asks of the instance that serves it.
type Request struct {
	Access        model.Access
	InTransaction bool               // part of a transaction, which the primary alone serves
	HasToken      bool               // the token tells what the session has seen of the database
	MinPoint      model.Point        // the answer must cover this point
	WrittenAt     time.Time          // when the least point was written; zero when unknown
	MaxAge        *model.Age         // nil for read-your-writes
	DataCentre    model.DataCentreID // of the chooser
	Region        model.RegionID     // of the chooser
	Patience      time.Duration      // how much longer than the primary a replica may take; 0 for DefaultPatience
	TimeLeft      time.Duration      // time left before the deadline; 0 for no limit
	Tried         IndexSet           // instances that have refused the work
	Random        uint32             // random number that spreads equal choices
	Loads         Loads              // nil when nothing is known
}

// IndexSet holds instances by their place in the database's list, at most 64.
type IndexSet uint64

// With returns the set with one more place.
func (s IndexSet) With(place int) IndexSet {
	return s | 1<<uint(place)
}

// Has reports whether the set holds the place.
func (s IndexSet) Has(place int) bool {
	return s&(1<<uint(place)) != 0
}

// Choice is the instance that is to serve the work.
type Choice struct {
	Instance model.InstanceID // empty when no instance may serve the work
	Index    int              // in the database's list, for Want.Tried
	Role     model.Role
	Term     model.Term
	MaxWait  time.Duration // time that the instance may wait to cover the least point
	Expected time.Duration // expected time to the answer
	Reason   Reason
}

// Choose returns the instance that is expected to answer first of those that may serve the work.
func Choose(db *view.Database, want Request, now time.Time) Choice {
	if db.Timeline.Relate(model.Point{Term: db.Term, Position: want.MinPoint.Position}, want.MinPoint) == model.Lost {
		return Choice{Reason: Lost}
	}
	primary := choosePrimary(db, want)
	if !replicasAllowed(want) {
		return primary
	}
	replica := chooseReplica(db, want, now)
	if replica.Instance == "" {
		if primary.Instance != "" {
			primary.Reason = NoReplica
		}
		return primary
	}
	if primary.Instance == "" || replica.Expected <= primary.Expected+patience(want) {
		return replica
	}
	primary.Reason = PrimaryFaster
	return primary
}

// replicasAllowed reports whether a replica may serve the work at all.
func replicasAllowed(want Request) bool {
	if want.Access != model.Read || want.InTransaction {
		return false
	}
	return want.HasToken || want.MaxAge != nil
}

// choosePrimary returns the primary as a choice, or none when it has refused the work.
func choosePrimary(db *view.Database, want Request) Choice {
	for place := range db.Instances {
		instance := &db.Instances[place]
		if instance.ID != db.Primary || want.Tried.Has(place) {
			continue
		}
		return Choice{
			Instance: instance.ID,
			Index:    place,
			Role:     model.RolePrimary,
			Term:     db.Term,
			Expected: answerTime(instance, want),
			Reason:   Primary,
		}
	}
	return Choice{}
}

// chooseReplica returns the replica that is expected to answer first, or none.
func chooseReplica(db *view.Database, want Request, now time.Time) Choice {
	var best Choice
	count := len(db.Instances)
	for i := range count {
		place := (int(want.Random%uint32(count)) + i) % count
		instance := &db.Instances[place]
		if instance.ID == db.Primary || want.Tried.Has(place) || !acceptsReads(instance, now) {
			continue
		}
		choice := replicaChoice(db, instance, want, now)
		choice.Index = place
		if choice.Reason == None || (want.TimeLeft > 0 && choice.Expected > want.TimeLeft) {
			continue
		}
		if best.Instance == "" || choice.Expected < best.Expected {
			best = choice
		}
	}
	return best
}

// replicaChoice returns the replica as a choice, with the reason None when it does not qualify.
func replicaChoice(db *view.Database, instance *view.Instance, want Request, now time.Time) Choice {
	wait, reason := catchUp(db, instance, want, now)
	choice := Choice{
		Instance: instance.ID,
		Role:     model.RoleReplica,
		Term:     db.Term,
		Expected: wait + answerTime(instance, want),
		Reason:   reason,
	}
	if reason == CatchingUp {
		choice.MaxWait = waitLimit(wait)
	}
	return choice
}
