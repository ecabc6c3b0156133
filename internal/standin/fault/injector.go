package fault

import (
	"math/rand/v2"
	"sync"
)

// Injector holds the faults in force and draws which requests they hit.
type Injector struct {
	// Rand draws the requests that a share of faults hits.
	Rand *rand.Rand

	mutex   sync.Mutex
	faults  Faults
	changed chan struct{}
}

// New returns an injector without faults, whose draws follow the seed.
func New(seed uint64) *Injector {
	return &Injector{
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Set replaces the faults in force and cuts off requests that an earlier isolation held back.
func (i *Injector) Set(faults Faults) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.faults = faults
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (i *Injector) Faults() Faults {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults
}

// Watch returns the faults in force and a channel that closes at their next change.
func (i *Injector) Watch() (Faults, <-chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults, i.changed
}

// draw reports whether a fault of the share hits.
func (i *Injector) draw(share Probability) bool {
	if share <= 0 {
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return Probability(i.Rand.Float64()) < share
}
