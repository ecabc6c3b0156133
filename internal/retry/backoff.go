package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The bounds of a back-off between the tries of a request, whose caller waits meanwhile.
const (
	minInterval = 5 * time.Millisecond
	maxInterval = 500 * time.Millisecond
)

// The bounds of a back-off towards a dependency that all hosts share: when it is down they all ask, and nobody's request
// waits for the answer.
const (
	sharedMinInterval = 100 * time.Millisecond
	sharedMaxInterval = 650 * time.Millisecond // with its spread of a half less than a second, so that a return is soon seen
)

// Backoff gives jittered, growing pauses between the tries of one request.
type Backoff struct {
	policy *backoff.ExponentialBackOff
}

// NewBackoff returns a back-off between the tries of a request, whose first pause is the shortest.
func NewBackoff() *Backoff { return newBackoff(minInterval, maxInterval) }

// NewSharedBackoff returns a back-off towards a dependency that all hosts share.
func NewSharedBackoff() *Backoff { return newBackoff(sharedMinInterval, sharedMaxInterval) }

// newBackoff returns a back-off whose pauses grow from the first to the most.
func newBackoff(first, most time.Duration) *Backoff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = first
	policy.MaxInterval = most
	return &Backoff{policy: policy}
}

// Next returns the next pause, at least the time that the refusal asked for.
func (b *Backoff) Next(retryAfter time.Duration) time.Duration {
	return max(b.policy.NextBackOff(), retryAfter)
}
