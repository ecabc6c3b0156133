package owner

import (
	"sync"
	"time"

	"redwingspread/internal/model"
)

// observerMinInterval is the default minimum time between two states of one instance that differ only in position.
const observerMinInterval = 5 * time.Millisecond

// Observer forwards instance states seen by requests to the control loop, at a limited rate while only positions change.
type Observer struct {
	// Offer passes a state to the control loop.
	Offer func(model.InstanceState)
	// Now returns the current time.
	Now func() time.Time
	// MinInterval is the minimum time between two states of one instance that differ only in position.
	MinInterval time.Duration

	mutex sync.Mutex
	sent  map[model.InstanceID]sentState
}

// sentState is the part of an instance's last forwarded state that is compared, and the time at which it was forwarded.
type sentState struct {
	at      time.Time
	term    model.Term
	role    model.Role
	leaving bool
	slots   model.Slots
}

// NewObserver returns an observer; set Offer before the first call of Observe.
func NewObserver() *Observer {
	return &Observer{
		Now:         time.Now,
		MinInterval: observerMinInterval,
		sent:        map[model.InstanceID]sentState{},
	}
}

// Observe forwards a state when more than its position has changed or MinInterval has passed.
func (o *Observer) Observe(state model.InstanceState) {
	if o.isDue(state) {
		o.Offer(state)
	}
}

// isDue reports whether to forward a state, and records it if so.
func (o *Observer) isDue(state model.InstanceState) bool {
	now := o.Now()
	next := sentState{at: now, term: state.Term, role: state.Role, leaving: state.Leaving, slots: state.Slots}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	last, found := o.sent[state.Instance]
	tooSoon := found && now.Sub(last.at) < o.MinInterval
	last.at = now
	if tooSoon && last == next {
		return false
	}
	o.sent[state.Instance] = next
	return true
}
