package fleet

import (
	"time"

	"redwingspread/internal/model"
)

// minSilentMisses is the minimum number of consecutive unanswered calls after which an instance may count as silent.
const minSilentMisses = 2

// instance is what the machine knows about one instance.
type instance struct {
	model.Instance
	state            model.InstanceState
	observedAt       time.Time             // time of the last answer; zero if there was none
	firstMissAt      time.Time             // time of the first unanswered call since then
	missedCalls      int                   // number of unanswered calls since then
	runningCalls     map[Call]bool         // calls without a result yet
	nextCall         map[Call]time.Time    // earliest time of the next call of each kind
	reachableFrom    map[model.HostID]bool // whether other hosts reach it, since its last answer
	questionAt       time.Time             // time of another host's last question about it
	questionFrom     model.HostID          // host that asked
	questionAnswered bool                  // the last question has been answered
	unlisted         bool                  // no longer in the platform's list
}

// newInstance returns an instance about which nothing else is known.
func newInstance(item model.Instance) *instance {
	return &instance{
		Instance:      item,
		runningCalls:  make(map[Call]bool),
		nextCall:      make(map[Call]time.Time),
		reachableFrom: make(map[model.HostID]bool),
	}
}

// recordState records an answer. A state of an older term does not replace the known one.
func (i *instance) recordState(now time.Time, state model.InstanceState) {
	i.observedAt = now
	i.missedCalls = 0
	clear(i.reachableFrom)
	if state.Instance == i.ID && state.Term >= i.state.Term {
		i.state = state
	}
}

// recordMiss records a call without an answer.
func (i *instance) recordMiss(now time.Time) {
	if i.missedCalls == 0 {
		i.firstMissAt = now
	}
	i.missedCalls++
}

// answers reports whether the instance answered its last call.
func (i *instance) answers() bool {
	return !i.observedAt.IsZero() && i.missedCalls == 0
}

// answeredSince reports whether the instance answered after the given time and no later call is unanswered.
func (i *instance) answeredSince(since time.Time) bool {
	return i.missedCalls == 0 && i.observedAt.After(since)
}

// silent reports whether several calls went unanswered and the last answer is at least the given time ago. Without any answer,
// the time counts from the first unanswered call.
func (i *instance) silent(now time.Time, limit time.Duration) bool {
	if i.missedCalls < minSilentMisses {
		return false
	}
	since := i.observedAt
	if since.IsZero() {
		since = i.firstMissAt
	}
	return now.Sub(since) >= limit
}

// silenceConfirmed reports whether other hosts answered the question about the instance and none of them reaches it.
func (i *instance) silenceConfirmed() bool {
	return len(i.reachableFrom) > 0 && !i.reachedByPeer()
}

// reachedByPeer reports whether another host reaches the instance.
func (i *instance) reachedByPeer() bool {
	for _, reachable := range i.reachableFrom {
		if reachable {
			return true
		}
	}
	return false
}

// startIfDue reports whether a call may be made now, and marks it as running if so.
func (i *instance) startIfDue(now time.Time, call Call) bool {
	if i.runningCalls[call] || now.Before(i.nextCall[call]) {
		return false
	}
	i.runningCalls[call] = true
	return true
}
