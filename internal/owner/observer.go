package owner

import (
	"sync"
	"time"

	"redwingspread/internal/model"
)

// observerPause is the least time between two states of one instance that differ in position alone.
const observerPause = 5 * time.Millisecond

// Observer hands control the states of instances that traffic saw, without handing it every one.
type Observer struct {
	// Offer hands one state to control.
	Offer func(model.InstanceState)
	// Now reads the clock.
	Now func() time.Time
	// Pause is the least time between two states of one instance that differ in position alone.
	Pause time.Duration

	mutex sync.Mutex
	seen  map[model.InstanceID]seen
}

// seen is what was last handed on of one instance.
type seen struct {
	at      time.Time
	term    model.Term
	role    model.Role
	leaving bool
	slots   model.Slots
}

// NewObserver returns an observer whose Offer is to be set before its first state.
func NewObserver() *Observer {
	return &Observer{
		Now:   time.Now,
		Pause: observerPause,
		seen:  map[model.InstanceID]seen{},
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
	next := seen{at: now, term: state.Term, role: state.Role, leaving: state.Leaving, slots: state.Slots}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	last, found := o.seen[state.Instance]
	recent := found && now.Sub(last.at) < o.Pause
	last.at = now
	if recent && last == next {
		return false
	}
	o.seen[state.Instance] = next
	return true
}
