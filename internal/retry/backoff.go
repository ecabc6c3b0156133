package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The first and the longest delay, before jitter, between the attempts of a request, whose caller is waiting.
const (
	initialInterval = 5 * time.Millisecond
	maxInterval     = 500 * time.Millisecond
)

// The first and the longest delay, before jitter, between attempts to reach a dependency that all hosts share: when it is down,
// all hosts retry, and no request is waiting for it.
const (
	sharedInitialInterval = 100 * time.Millisecond
	sharedMaxInterval     = 650 * time.Millisecond // below one second with 50 % jitter, so that recovery is noticed soon
)

// Backoff computes growing delays with jitter between the attempts of one operation.
type Backoff struct {
	policy *backoff.ExponentialBackOff
}

// NewBackoff returns a backoff for the attempts of a request.
func NewBackoff() *Backoff { return newBackoff(initialInterval, maxInterval) }

// NewSharedBackoff returns a backoff for a dependency that all hosts share.
func NewSharedBackoff() *Backoff { return newBackoff(sharedInitialInterval, sharedMaxInterval) }

// newBackoff returns a backoff whose delays grow from the initial to the maximum interval, before jitter.
func newBackoff(initial, maximum time.Duration) *Backoff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initial
	policy.MaxInterval = maximum
	return &Backoff{policy: policy}
}

// Next returns the next delay, which is at least retryAfter, the delay that a refusal asked for (0 for none).
func (b *Backoff) Next(retryAfter time.Duration) time.Duration {
	return max(b.policy.NextBackOff(), retryAfter)
}
