package retry

import (
	"sync"
	"time"
)

// The defaults of a budget.
const (
	defaultPerSuccess = 0.1 // retries for each success
	defaultPerSecond  = 1.0 // retries a second that need no success
	defaultBurst      = 20  // retries saved up at most
)

// Budget limits retries to a share of successes, so that retries never feed an outage.
type Budget struct {
	// PerSuccess is the number of retries that each success allows.
	PerSuccess float64
	// PerSecond is the number of retries a second that are allowed without any success.
	PerSecond float64
	// Burst is the greatest number of retries saved up.
	Burst float64
	// Now reads the clock.
	Now func() time.Time

	mutex      sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a full budget whose exported fields are to be set before its use.
func NewBudget() *Budget {
	return &Budget{
		PerSuccess: defaultPerSuccess,
		PerSecond:  defaultPerSecond,
		Burst:      defaultBurst,
		Now:        time.Now,
		tokens:     defaultBurst,
	}
}

// RecordSuccess counts one success.
func (b *Budget) RecordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.PerSuccess, b.Burst)
}

// Take reports whether a retry is within the budget, and counts it.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(b.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds what the time since the last call allows.
func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.tokens+b.PerSecond*now.Sub(b.lastRefill).Seconds(), b.Burst)
	}
	b.lastRefill = now
}
