package front

import (
	"time"

	"redwingspread/internal/controller"
)

// overdueRetry is the suggested delay of callers while a primary is expected and overdue; half of the expected time of a promotion.
const overdueRetry = 500 * time.Millisecond

// primaryWait is what decides how long a statement waits for a primary.
type primaryWait struct {
	now          time.Time
	startBy      time.Time     // by which the statement has to be sent to an instance
	deadline     time.Time     // for the response
	answer       time.Duration // expected time to the response of a primary
	expectedBack time.Time     // when a lost primary is expected back; zero for no expectation
	settled      time.Time     // when a host that has just started knows the primaries
	changing     bool          // the primary is being replaced, or its loss is undecided
}

// latest returns the latest time at which the statement can be sent and still be answered in time.
func (w primaryWait) latest() time.Time { return w.deadline.Add(-w.answer) }

// tooLate reports whether no primary is expected in time for an answer before the deadline.
func (w primaryWait) tooLate() bool {
	return w.expectedBack.After(w.deadline) || w.changing && (w.expectedBack.After(w.latest()) || !w.now.Before(w.latest()))
}

// until returns until when the statement waits: as long as it can be answered in time while the primary changes. Otherwise until it
// has to be sent; until a lost primary is expected back, if that is before the deadline; or until a host that has just started
// knows the primaries.
func (w primaryWait) until() time.Time {
	if w.tooLate() {
		return w.now
	}
	if w.changing {
		return w.latest()
	}
	until := w.startBy
	if w.expectedBack.Before(w.deadline) && w.expectedBack.After(until) {
		until = w.expectedBack
	}
	if settled := earlier(w.settled, w.deadline); settled.After(until) {
		until = settled
	}
	return until
}

// retryAfter returns the delay after which a caller that is refused should retry: until the primary is expected back.
func (w primaryWait) retryAfter() time.Duration {
	after := max(w.expectedBack.Sub(w.now), 0)
	if w.changing {
		after = max(after, overdueRetry)
	}
	return after
}

// primaryWait returns what decides how long the statement waits for a primary of the replica set.
func (e *execution) primaryWait(rs *replicaSet, primary *controller.Primary) primaryWait {
	return primaryWait{
		now:          time.Now(),
		startBy:      e.startBy,
		deadline:     e.deadline,
		answer:       e.expectedAnswer(rs),
		expectedBack: primary.ExpectedBack,
		settled:      e.session.host.settledAt(),
		changing:     primary.Changing,
	}
}

// expectedAnswer returns the shortest time to an answer that is expected of an instance of the replica set.
func (e *execution) expectedAnswer(rs *replicaSet) time.Duration {
	var shortest time.Duration
	for i, candidate := range e.survey(nil, rs.list(), "") {
		if i == 0 || candidate.Expected < shortest {
			shortest = candidate.Expected
		}
	}
	return shortest
}

// awaitsPrimary reports whether the statement may wait for the primary of its database, which is being replaced or may be lost,
// although the time by which it would otherwise have to be sent is over.
func (e *execution) awaitsPrimary() bool {
	if !e.needsPrimary() {
		return false
	}
	primary := e.session.host.primary(e.policy.Database)
	rs := e.session.host.replicaSet(e.policy.Database)
	return primary.Changing && rs != nil && !e.primaryWait(rs, &primary).tooLate()
}
