package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

const (
	// DefaultPatience is how much longer than the primary a replica may take to respond.
	DefaultPatience = 25 * time.Millisecond
	// stateLifetime is the age from which the observed state of a replica is ignored.
	stateLifetime = 5 * time.Second
	// maxNewSessionAge is the age of the data from which a replica serves no session that has not read or written anything yet.
	maxNewSessionAge = 30 * time.Second
	// catchUpSlack is the time added to the wait limit, for replicas that catch up later than expected.
	catchUpSlack = 5 * time.Millisecond
)

// Expected times of a round trip and of a statement.
const (
	sameCentreRoundTrip  = 500 * time.Microsecond // within the data centre
	sameRegionRoundTrip  = 2 * time.Millisecond   // within the region
	crossRegionRoundTrip = 20 * time.Millisecond  // between regions
	serviceTime          = 2 * time.Millisecond   // of one statement
)

// acceptsReads reports whether the instance is a replica that accepts reads.
func acceptsReads(instance *view.Instance, now time.Time) bool {
	if !instance.Reachable || instance.Leaving || instance.State.Leaving {
		return false
	}
	return instance.State.Role == model.RoleReplica && now.Sub(instance.ObservedAt) <= stateLifetime
}

// catchUp returns the time until the replica is expected to qualify and the reason for choosing it, None when it doesn't
// qualify.
func catchUp(db *view.Database, instance *view.Instance, request Request, now time.Time) (time.Duration, Reason) {
	if request.MaxAge != nil && instance.State.Age > *request.MaxAge {
		return 0, None
	}
	switch db.Timeline.Relate(instance.State.Point, request.MinPoint) {
	case model.Lost:
		return 0, None
	case model.Covered:
		return 0, coveredReason(instance, request)
	}
	return max(expectedAt(instance, request, now).Sub(now), 0), CatchingUp
}

// coveredReason returns the reason for choosing a replica that holds the minimum point, None when its data is too old.
func coveredReason(instance *view.Instance, request Request) Reason {
	if request.MaxAge != nil {
		return Recent
	}
	if request.MinPoint.Position == 0 && instance.State.Age > model.Age(maxNewSessionAge) {
		return None
	}
	return Current
}

// expectedAt returns when the replica is expected to hold the minimum point: the time of the write plus its lag.
func expectedAt(instance *view.Instance, request Request, now time.Time) time.Time {
	written := request.WrittenAt
	if written.IsZero() {
		written = now
	}
	return written.Add(time.Duration(instance.State.Age))
}

// waitLimit returns how long an instance may wait to catch up, given how long it is expected to need.
func waitLimit(expected time.Duration) time.Duration {
	return expected + expected/2 + catchUpSlack
}

// responseTime returns the expected response time of an instance that qualifies.
func responseTime(instance *view.Instance, request Request) time.Duration {
	return roundTrip(instance, request) + queueTime(instance, request) + serviceTime
}

// roundTrip returns the expected round-trip time to the instance.
func roundTrip(instance *view.Instance, request Request) time.Duration {
	if instance.DataCentre == request.DataCentre {
		return sameCentreRoundTrip
	}
	if instance.Region == request.Region {
		return sameRegionRoundTrip
	}
	return crossRegionRoundTrip
}

// queueTime returns the expected wait for a slot on the instance.
func queueTime(instance *view.Instance, request Request) time.Duration {
	if request.Loads != nil {
		return request.Loads.Delay(instance.ID)
	}
	state := &instance.State
	if state.Slots == 0 || state.SlotsUsed < state.Slots {
		return 0
	}
	return serviceTime * time.Duration(state.SlotsUsed-state.Slots+1) / time.Duration(state.Slots)
}

// patience returns how much longer than the primary a replica may take to respond.
func patience(request Request) time.Duration {
	if request.Patience == 0 {
		return DefaultPatience
	}
	return request.Patience
}
