package route

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

const (
	// DefaultPatience is how much longer than the primary a replica may take to answer.
	DefaultPatience = 25 * time.Millisecond
	// stateLifetime is how long the observed state of a replica tells something.
	stateLifetime = 5 * time.Second
	// maxUnseenAge is the age from which a replica serves no session that has seen nothing yet.
	maxUnseenAge = 30 * time.Second
	// catchUpSlack is the time by which a replica may catch up later than expected.
	catchUpSlack = 5 * time.Millisecond
)

// The expected times of a round trip and of a statement.
const (
	sameCentreRoundTrip  = 500 * time.Microsecond // within the data centre
	sameRegionRoundTrip  = 2 * time.Millisecond   // within the region
	crossRegionRoundTrip = 20 * time.Millisecond  // between regions
	serviceTime          = 2 * time.Millisecond   // of one statement
)

// acceptsReads reports whether the instance takes reads as a replica.
func acceptsReads(instance *view.Instance, now time.Time) bool {
	if !instance.Reachable || instance.Leaving || instance.State.Leaving {
		return false
	}
	return instance.State.Role == model.RoleReplica && now.Sub(instance.Observed) <= stateLifetime
}

// catchUp returns the time until the replica is expected to qualify, and the reason why it does.
func catchUp(db *view.Database, instance *view.Instance, want Request, now time.Time) (time.Duration, Reason) {
	if want.MaxAge != nil && instance.State.Age > *want.MaxAge {
		return 0, None
	}
	switch db.Timeline.Relate(instance.State.Point, want.MinPoint) {
	case model.Lost:
		return 0, None
	case model.Covered:
		return 0, coveredReason(instance, want)
	}
	return max(expectedAt(instance, want, now).Sub(now), 0), CatchingUp
}

// coveredReason returns the reason why a replica that holds the least point qualifies.
func coveredReason(instance *view.Instance, want Request) Reason {
	if want.MaxAge != nil {
		return Recent
	}
	if want.MinPoint.Position == 0 && instance.State.Age > model.Age(maxUnseenAge) {
		return None
	}
	return Current
}

// expectedAt returns when the replica is expected to hold the least point: its lag after the point was written.
func expectedAt(instance *view.Instance, want Request, now time.Time) time.Time {
	written := want.WrittenAt
	if written.IsZero() {
		written = now
	}
	return written.Add(time.Duration(instance.State.Age))
}

// waitLimit returns the time that an instance may wait when it is expected to need the given one.
func waitLimit(expected time.Duration) time.Duration {
	return expected + expected/2 + catchUpSlack
}

// answerTime returns the expected time to an answer of an instance that qualifies.
func answerTime(instance *view.Instance, want Request) time.Duration {
	return roundTrip(instance, want) + queueTime(instance, want) + serviceTime
}

// roundTrip returns the expected time of a round trip to the instance.
func roundTrip(instance *view.Instance, want Request) time.Duration {
	if instance.DataCentre == want.DataCentre {
		return sameCentreRoundTrip
	}
	if instance.Region == want.Region {
		return sameRegionRoundTrip
	}
	return crossRegionRoundTrip
}

// queueTime returns the expected wait for a slot of the instance.
func queueTime(instance *view.Instance, want Request) time.Duration {
	if want.Loads != nil {
		return want.Loads.Delay(instance.ID)
	}
	state := &instance.State
	if state.Slots == 0 || state.SlotsUsed < state.Slots {
		return 0
	}
	return serviceTime * time.Duration(state.SlotsUsed-state.Slots+1) / time.Duration(state.Slots)
}

// patience returns how much longer than the primary a replica may take.
func patience(want Request) time.Duration {
	if want.Patience == 0 {
		return DefaultPatience
	}
	return want.Patience
}
