package fleet

import (
	"time"

	"redwingspread/internal/model"
)

// missesOfSilence is the number of unanswered calls that make a silent instance unreachable.
const missesOfSilence = 2

// instance is what the machine knows of one instance.
type instance struct {
	model.Instance
	state    model.InstanceState
	observed time.Time // last answer; zero when never
	sought   time.Time // first unanswered call since then
	missed   int       // unanswered calls since then
	busy     map[Call]bool
	next     map[Call]time.Time
	reports  map[model.HostID]bool // whether other hosts reach it, since the last question
	asked    time.Time             // last question of another host
	asker    model.HostID
	reported bool // the newest question has been answered
	gone     bool // no longer in the platform's list
}

// newInstance returns an instance that nothing is known of.
func newInstance(item model.Instance) *instance {
	return &instance{
		Instance: item,
		busy:     make(map[Call]bool),
		next:     make(map[Call]time.Time),
		reports:  make(map[model.HostID]bool),
	}
}

// seen takes a state; an older term or point than the known one does not replace it.
func (i *instance) seen(now time.Time, state model.InstanceState) {
	i.observed = now
	i.missed = 0
	clear(i.reports)
	if state.Instance == i.ID && state.Term >= i.state.Term {
		i.state = state
	}
}

// unseen counts a call without an answer.
func (i *instance) unseen(now time.Time) {
	if i.missed == 0 {
		i.sought = now
	}
	i.missed++
}

// answers reports whether the instance answered its last call.
func (i *instance) answers() bool {
	return !i.observed.IsZero() && i.missed == 0
}

// seenSince reports whether the instance answered after the time and no call is unanswered.
func (i *instance) seenSince(since time.Time) bool {
	return i.missed == 0 && i.observed.After(since)
}

// silent reports whether several calls and some time have passed without an answer.
func (i *instance) silent(now time.Time, limit time.Duration) bool {
	if i.missed < missesOfSilence {
		return false
	}
	since := i.observed
	if since.IsZero() {
		since = i.sought
	}
	return now.Sub(since) >= limit
}

// confirmed reports whether other hosts were asked and none of those that answered reaches the instance.
func (i *instance) confirmed() bool {
	return len(i.reports) > 0 && !i.contradicted()
}

// contradicted reports whether another host reaches the instance.
func (i *instance) contradicted() bool {
	for _, reachable := range i.reports {
		if reachable {
			return true
		}
	}
	return false
}

// due reports whether a call may be made now, and marks it as under way when so.
func (i *instance) due(now time.Time, call Call) bool {
	if i.busy[call] || now.Before(i.next[call]) {
		return false
	}
	i.busy[call] = true
	return true
}
