package fault

import (
	"math/rand/v2"
	"sync"
)

// Injector holds the active faults and decides at random which requests they affect. It is safe for concurrent use.
type Injector struct {
	// Rand is the source of randomness.
	Rand *rand.Rand

	mutex   sync.Mutex
	faults  Faults
	changed chan struct{}
}

// New returns an injector without faults, whose random decisions are determined by the seed.
func New(seed uint64) *Injector {
	return &Injector{
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Set replaces the active faults. Requests that the earlier faults block are aborted.
func (i *Injector) Set(faults Faults) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.faults = faults
	close(i.changed)
	i.changed = make(chan struct{})
}

// Faults returns the active faults.
func (i *Injector) Faults() Faults {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults
}

// Watch returns the active faults and a channel that is closed when they change.
func (i *Injector) Watch() (Faults, <-chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.faults, i.changed
}

// draw returns true with the given probability.
func (i *Injector) draw(probability Probability) bool {
	if probability <= 0 {
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return Probability(i.Rand.Float64()) < probability
}
