package retry

import (
	"sync"
	"time"
)

// Defaults of a budget.
const (
	DefaultPerSuccess = 0.1 // retries earned by each success
	defaultPerSecond  = 1.0 // retries earned per second without any success
	defaultBurst      = 20  // greatest number of retries saved up
)

// Budget is a token bucket that limits retries to a fraction of the successes, so that retries don't amplify an outage.
type Budget struct {
	// PerSuccess is the number of retries earned by each success.
	PerSuccess float64
	// PerSecond is the number of retries earned per second without any success.
	PerSecond float64
	// Burst is the greatest number of retries saved up.
	Burst float64
	// Now returns the current time.
	Now func() time.Time

	mutex      sync.Mutex
	tokens     float64 // retries available
	lastRefill time.Time
}

// NewBudget returns a full budget; its exported fields have to be set before use.
func NewBudget() *Budget {
	return &Budget{
		PerSuccess: DefaultPerSuccess,
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

// Take takes one retry from the budget, or returns false when there is none left.
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

// refill adds the tokens earned since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.tokens+b.PerSecond*now.Sub(b.lastRefill).Seconds(), b.Burst)
	}
	b.lastRefill = now
}
