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
	None      Reason = iota // no instance may serve the work now
	Primary                 // only the primary may serve the work
	Current                 // the replica is known to hold the least point
	Recent                  // the replica's data is not older than accepted
	Catching                // the replica is expected to hold the least point soon
	Sooner                  // a replica would do, but the primary answers sooner
	NoReplica               // no replica may serve the read
	Lost                    // the log has gone on without the least point
)

// Loads tells the expected time that new work waits for a slot of an instance.
type Loads interface {
	// Delay returns the expected wait at the instance.
	Delay(instance model.InstanceID) time.Duration
}

// Want is what a piece of work asks of the instance that serves it.
type Want struct {
	Access     model.Access
	InOrder    bool               // part of a transaction, which the primary alone serves
	HasToken   bool               // the token tells what the session has seen of the database
	Least      model.Point        // the answer must cover this point
	Written    time.Time          // when the least point was written; zero when unknown
	MaxAge     *model.Age         // nil for read-your-writes
	DataCentre model.DataCentreID // of the chooser
	Region     model.RegionID     // of the chooser
	Patience   time.Duration      // how much longer than the primary a replica may take; 0 for DefaultPatience
	Left       time.Duration      // time left before the deadline; 0 for no limit
	Tried      Set                // instances that have refused the work
	Draw       uint32             // random number that spreads equal choices
	Loads      Loads              // nil when nothing is known
}

// Set holds instances by their place in the database's list, at most 64.
type Set uint64

// With returns the set with one more place.
func (s Set) With(place int) Set {
	return s | 1<<uint(place)
}

// Has reports whether the set holds the place.
func (s Set) Has(place int) bool {
	return s&(1<<uint(place)) != 0
}

// Choice is the instance that is to serve the work.
type Choice struct {
	Instance model.InstanceID // empty when no instance may serve the work
	Place    int              // in the database's list, for Want.Tried
	Role     model.Role
	Term     model.Term
	Wait     time.Duration // time that the instance may wait to cover the least point
	Expected time.Duration // expected time to the answer
	Reason   Reason
}

// Choose returns the instance that is expected to answer first of those that may serve the work.
func Choose(db *view.Database, want Want, now time.Time) Choice {
	if db.Timeline.Relate(model.Point{Term: db.Term, Position: want.Least.Position}, want.Least) == model.Lost {
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
	primary.Reason = Sooner
	return primary
}

// replicasAllowed reports whether a replica may serve the work at all.
func replicasAllowed(want Want) bool {
	if want.Access != model.Read || want.InOrder {
		return false
	}
	return want.HasToken || want.MaxAge != nil
}

// choosePrimary returns the primary as a choice, or none when it has refused the work.
func choosePrimary(db *view.Database, want Want) Choice {
	for place := range db.Instances {
		instance := &db.Instances[place]
		if instance.ID != db.Primary || want.Tried.Has(place) {
			continue
		}
		return Choice{
			Instance: instance.ID,
			Place:    place,
			Role:     model.RolePrimary,
			Term:     db.Term,
			Expected: answerTime(instance, want),
			Reason:   Primary,
		}
	}
	return Choice{}
}

// chooseReplica returns the replica that is expected to answer first, or none.
func chooseReplica(db *view.Database, want Want, now time.Time) Choice {
	var best Choice
	count := len(db.Instances)
	for i := range count {
		place := (int(want.Draw%uint32(count)) + i) % count
		instance := &db.Instances[place]
		if instance.ID == db.Primary || want.Tried.Has(place) || !serves(instance, now) {
			continue
		}
		choice := asReplica(db, instance, want, now)
		choice.Place = place
		if choice.Reason == None || (want.Left > 0 && choice.Expected > want.Left) {
			continue
		}
		if best.Instance == "" || choice.Expected < best.Expected {
			best = choice
		}
	}
	return best
}

// asReplica returns the replica as a choice, with the reason None when it does not qualify.
func asReplica(db *view.Database, instance *view.Instance, want Want, now time.Time) Choice {
	wait, reason := catchUp(db, instance, want, now)
	choice := Choice{
		Instance: instance.ID,
		Role:     model.RoleReplica,
		Term:     db.Term,
		Expected: wait + answerTime(instance, want),
		Reason:   reason,
	}
	if reason == Catching {
		choice.Wait = waitLimit(wait)
	}
	return choice
}
