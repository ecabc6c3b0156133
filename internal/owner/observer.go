package owner

import (
	"sync"
	"time"

	"redwingspread/internal/model"
)

// observerMinInterval is the least time between two states of one instance that differ in position alone.
const observerMinInterval = 5 * time.Millisecond

// Observer hands control the states of instances that traffic saw, without handing it every one.
type Observer struct {
	// Offer hands one state to control.
	Offer func(model.InstanceState)
	// Now reads the clock.
	Now func() time.Time
	// MinInterval is the least time between two states of one instance that differ in position alone.
	MinInterval time.Duration

	mutex sync.Mutex
	sent  map[model.InstanceID]sentState
}

// sentState is what was last handed on of one instance.
type sentState struct {
	at      time.Time
	term    model.Term
	role    model.Role
	leaving bool
	slots   model.Slots
}

// NewObserver returns an observer whose Offer is to be set before its first state.
func NewObserver() *Observer {
	return &Observer{
		Now:         time.Now,
		MinInterval: observerMinInterval,
		sent:        map[model.InstanceID]sentState{},
	}
}

// Observe hands on a state that tells more than a position, or the first after the pause.
func (o *Observer) Observe(state model.InstanceState) {
	if o.isDue(state) {
		o.Offer(state)
	}
}

// isDue reports whether a state is to be handed on, and remembers it when so.
func (o *Observer) isDue(state model.InstanceState) bool {
	now := o.Now()
	next := sentState{at: now, term: state.Term, role: state.Role, leaving: state.Leaving, slots: state.Slots}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	last, found := o.sent[state.Instance]
	recent := found && now.Sub(last.at) < o.MinInterval
	last.at = now
	if recent && last == next {
		return false
	}
	o.sent[state.Instance] = next
	return true
}
