package retry

import (
	"sync"
	"time"
)

// The defaults of a budget.
const (
	defaultShare = 0.1 // retries for each success
	defaultRate  = 1.0 // retries a second that need no success
	defaultBurst = 20  // retries saved up at most
)

// Budget limits retries to a share of successes, so that retries never feed an outage.
type Budget struct {
	// Share is the number of retries that each success allows.
	Share float64
	// Rate is the number of retries a second that are allowed without any success.
	Rate float64
	// Burst is the greatest number of retries saved up.
	Burst float64
	// Now reads the clock.
	Now func() time.Time

	mutex sync.Mutex
	saved float64
	last  time.Time
}

// New returns a full budget whose exported fields are to be set before its use.
func New() *Budget {
	return &Budget{
		Share: defaultShare,
		Rate:  defaultRate,
		Burst: defaultBurst,
		Now:   time.Now,
		saved: defaultBurst,
	}
}

// Succeed counts one success.
func (b *Budget) Succeed() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.saved = min(b.saved+b.Share, b.Burst)
}

// Take reports whether a retry is within the budget, and counts it.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(b.Now())
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// refill adds what the time since the last call allows.
func (b *Budget) refill(now time.Time) {
	if !b.last.IsZero() {
		b.saved = min(b.saved+b.Rate*now.Sub(b.last).Seconds(), b.Burst)
	}
	b.last = now
}
