package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Reason is why an instance was chosen, or why none was.
type Reason uint8

// The reasons of a choice.
const (
	None          Reason = iota // no instance can serve the request now
	Primary                     // only the primary may serve the request
	Current                     // the replica is known to hold the minimum point
	Recent                      // the replica's data is within the accepted age
	CatchingUp                  // the replica is expected to hold the minimum point soon
	PrimaryFaster               // a replica qualifies, but the primary is expected to respond sooner
	NoReplica                   // no replica can serve the read
	Lost                        // the minimum point was discarded by a failover
)

// Loads provides the expected queueing time by instance.
type Loads interface {
	// Delay returns how long a new request is expected to wait for a slot on the instance.
	Delay(instance model.InstanceID) time.Duration
}

// Request is a statement to be routed, with what it requires of the instance.
type Request struct {
	Access        model.Access
	InTransaction bool               // part of a transaction, which only the primary serves
	HasToken      bool               // the session's token says what it has seen of the database
	MinPoint      model.Point        // point that the instance must hold
	WrittenAt     time.Time          // when the minimum point was written; zero when unknown
	MaxAge        *model.Age         // greatest accepted age of the data; nil for read-your-writes
	DataCentre    model.DataCentreID // of the requesting host
	Region        model.RegionID     // of the requesting host
	Patience      time.Duration      // how much longer than the primary a replica may take to respond; 0 for DefaultPatience
	TimeLeft      time.Duration      // time until the deadline; 0 for none
	Tried         IndexSet           // instances that have already refused the request
	Random        uint32             // random number that spreads requests over equal replicas
	Loads         Loads              // nil when unknown
}

// IndexSet is a set of indexes into the database's list of instances, each below 64.
type IndexSet uint64

// With returns the set with the index added.
func (s IndexSet) With(index int) IndexSet {
	return s | 1<<uint(index)
}

// Has reports whether the set contains the index.
func (s IndexSet) Has(index int) bool {
	return s&(1<<uint(index)) != 0
}

// Choice is the result of routing a request.
type Choice struct {
	Instance model.InstanceID // empty when no instance can serve the request
	Index    int              // index of the instance in the database's list, for Request.Tried
	Role     model.Role
	Term     model.Term
	MaxWait  time.Duration // how long the instance may wait to catch up to the minimum point
	Expected time.Duration // expected response time
	Reason   Reason
}

// Choose returns the instance that is expected to respond first among those that may serve the request.
func Choose(db *view.Database, request Request, now time.Time) Choice {
	if db.Timeline.Relate(model.Point{Term: db.Term, Position: request.MinPoint.Position}, request.MinPoint) == model.Lost {
		return Choice{Reason: Lost}
	}
	primary := choosePrimary(db, request)
	if !replicasAllowed(request) {
		return primary
	}
	replica := chooseReplica(db, request, now)
	if replica.Instance == "" {
		if primary.Instance != "" {
			primary.Reason = NoReplica
		}
		return primary
	}
	if primary.Instance == "" || replica.Expected <= primary.Expected+patience(request) {
		return replica
	}
	primary.Reason = PrimaryFaster
	return primary
}

// replicasAllowed reports whether a replica may serve the request at all.
func replicasAllowed(request Request) bool {
	if request.Access != model.Read || request.InTransaction {
		return false
	}
	return request.HasToken || request.MaxAge != nil
}

// choosePrimary returns the primary, or no instance when it is unknown or has refused the request.
func choosePrimary(db *view.Database, request Request) Choice {
	for index := range db.Instances {
		instance := &db.Instances[index]
		if instance.ID != db.Primary || request.Tried.Has(index) {
			continue
		}
		return Choice{
			Instance: instance.ID,
			Index:    index,
			Role:     model.RolePrimary,
			Term:     db.Term,
			Expected: responseTime(instance, request),
			Reason:   Primary,
		}
	}
	return Choice{}
}

// chooseReplica returns the replica that is expected to respond first, or no instance.
func chooseReplica(db *view.Database, request Request, now time.Time) Choice {
	var best Choice
	count := len(db.Instances)
	for i := range count {
		index := (int(request.Random%uint32(count)) + i) % count
		instance := &db.Instances[index]
		if instance.ID == db.Primary || request.Tried.Has(index) || !acceptsReads(instance, now) {
			continue
		}
		choice := replicaChoice(db, instance, request, now)
		choice.Index = index
		if choice.Reason == None || (request.TimeLeft > 0 && choice.Expected > request.TimeLeft) {
			continue
		}
		if best.Instance == "" || choice.Expected < best.Expected {
			best = choice
		}
	}
	return best
}

// replicaChoice returns the choice of the replica, with reason None when it doesn't qualify.
func replicaChoice(db *view.Database, instance *view.Instance, request Request, now time.Time) Choice {
	wait, reason := catchUp(db, instance, request, now)
	choice := Choice{
		Instance: instance.ID,
		Role:     model.RoleReplica,
		Term:     db.Term,
		Expected: wait + responseTime(instance, request),
		Reason:   reason,
	}
	if reason == CatchingUp {
		choice.MaxWait = waitLimit(wait)
	}
	return choice
}
