package fleet

import (
	"time"

	"redwingspread/internal/model"
)

// minSilentMisses is the number of unanswered calls that make a silent instance unreachable.
const minSilentMisses = 2

// instance is what the machine knows of one instance.
type instance struct {
	model.Instance
	state         model.InstanceState
	observedAt    time.Time // last answer; zero when never
	firstMissAt   time.Time // first unanswered call since then
	misses        int       // unanswered calls since then
	running       map[Call]bool
	nextCall      map[Call]time.Time
	reachableFrom map[model.HostID]bool // whether other hosts reach it, since the last question
	askedAt       time.Time             // last question of another host
	asker         model.HostID
	reported      bool // the newest question has been answered
	unlisted      bool // no longer in the platform's list
}

// newInstance returns an instance that nothing is known of.
func newInstance(item model.Instance) *instance {
	return &instance{
		Instance:      item,
		running:       make(map[Call]bool),
		nextCall:      make(map[Call]time.Time),
		reachableFrom: make(map[model.HostID]bool),
	}
}

// recordState takes a state; an older term or point than the known one does not replace it.
func (i *instance) recordState(now time.Time, state model.InstanceState) {
	i.observedAt = now
	i.misses = 0
	clear(i.reachableFrom)
	if state.Instance == i.ID && state.Term >= i.state.Term {
		i.state = state
	}
}

// recordMiss counts a call without an answer.
func (i *instance) recordMiss(now time.Time) {
	if i.misses == 0 {
		i.firstMissAt = now
	}
	i.misses++
}

// answers reports whether the instance answered its last call.
func (i *instance) answers() bool {
	return !i.observedAt.IsZero() && i.misses == 0
}

// answeredSince reports whether the instance answered after the time and no call is unanswered.
func (i *instance) answeredSince(since time.Time) bool {
	return i.misses == 0 && i.observedAt.After(since)
}

// silent reports whether several calls and some time have passed without an answer.
func (i *instance) silent(now time.Time, limit time.Duration) bool {
	if i.misses < minSilentMisses {
		return false
	}
	since := i.observedAt
	if since.IsZero() {
		since = i.firstMissAt
	}
	return now.Sub(since) >= limit
}

// silenceConfirmed reports whether other hosts were asked and none of those that answered reaches the instance.
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

// startIfDue reports whether a call may be made now, and marks it as under way when so.
func (i *instance) startIfDue(now time.Time, call Call) bool {
	if i.running[call] || now.Before(i.nextCall[call]) {
		return false
	}
	i.running[call] = true
	return true
}
