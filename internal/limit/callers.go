package limit

import "sync"

// Callers bounds the requests in progress of each caller and of all of them; its memory follows the requests in progress.
type Callers[K comparable] struct {
	// Each is the greatest number of requests of one caller.
	Each int
	// All is the greatest number of requests of all callers.
	All int

	mutex sync.Mutex
	used  map[K]int
	total int
}

// NewCallers returns limits whose exported fields are to be set before use.
func NewCallers[K comparable]() *Callers[K] {
	return &Callers[K]{used: make(map[K]int)}
}

// Enter counts a request of the caller in, or reports false when a limit is reached.
func (c *Callers[K]) Enter(caller K) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used := c.used[caller]
	if c.total >= c.All || used >= c.Each {
		return false
	}
	c.used[caller] = used + 1
	c.total++
	return true
}

// Leave counts a request of the caller out that was counted in.
func (c *Callers[K]) Leave(caller K) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.total--
	if c.used[caller]--; c.used[caller] == 0 {
		delete(c.used, caller)
	}
}
