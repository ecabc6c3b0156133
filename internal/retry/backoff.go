package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The bounds of a back-off.
const (
	firstInterval = 5 * time.Millisecond
	maxInterval   = 500 * time.Millisecond
)

// Backoff gives jittered, growing pauses between the tries of one request.
type Backoff struct {
	policy *backoff.ExponentialBackOff
}

// NewBackoff returns a back-off whose first pause is the shortest.
func NewBackoff() *Backoff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstInterval
	policy.MaxInterval = maxInterval
	return &Backoff{policy: policy}
}

// Next returns the next pause, at least the time that the refusal asked for.
func (b *Backoff) Next(retryAfter time.Duration) time.Duration {
	return max(b.policy.NextBackOff(), retryAfter)
}
