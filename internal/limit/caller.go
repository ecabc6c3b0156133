package limit

import "sync"

// CallerLimiter bounds the requests in progress of each caller and of all of them; its memory follows the requests in progress.
type CallerLimiter[K comparable] struct {
	// PerCaller is the greatest number of requests of one caller.
	PerCaller int
	// Total is the greatest number of requests of all callers.
	Total int

	mutex       sync.Mutex
	active      map[K]int
	activeTotal int
}

// NewCallerLimiter returns limits whose exported fields are to be set before use.
func NewCallerLimiter[K comparable]() *CallerLimiter[K] {
	return &CallerLimiter[K]{active: make(map[K]int)}
}

// Acquire counts a request of the caller in, or reports false when a limit is reached.
func (c *CallerLimiter[K]) Acquire(caller K) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used := c.active[caller]
	if c.activeTotal >= c.Total || used >= c.PerCaller {
		return false
	}
	c.active[caller] = used + 1
	c.activeTotal++
	return true
}

// Release counts a request of the caller out that was counted in.
func (c *CallerLimiter[K]) Release(caller K) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.activeTotal--
	if c.active[caller]--; c.active[caller] == 0 {
		delete(c.active, caller)
	}
}
