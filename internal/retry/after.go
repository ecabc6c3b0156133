package retry

import "time"

// The bounds of the delay after which callers should come back.
const (
	minAfter = 50 * time.Millisecond
	maxAfter = 5 * time.Second
)

// jitterShare is the longest jitter as a share of the delay.
const jitterShare = 0.5

// After returns the delay after which a caller that was refused for lack of room should come back: the time in which the queue drains,
// and a jitter, so that callers that were refused together don't come back together. The random number is from 0 to 1.
//
// The longest delays keep their jitter, too, so that they may be shorter than the time in which the queue drains.
func After(drain time.Duration, random float64) time.Duration {
	longest := float64(maxAfter) / (1 + jitterShare)
	drain = min(max(drain, minAfter), time.Duration(longest))
	return drain + time.Duration(float64(drain)*jitterShare*random)
}
