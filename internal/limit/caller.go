package limit

import "sync"

// CallerLimiter bounds the requests in progress by caller and in total; it keeps memory only for callers with requests in
// progress.
type CallerLimiter[K comparable] struct {
	// PerCaller is the greatest number of requests in progress of one caller.
	PerCaller int
	// Total is the greatest number of requests in progress of all callers.
	Total int

	mutex       sync.Mutex
	active      map[K]int
	activeTotal int
}

// NewCallerLimiter returns a limiter; its exported fields have to be set before use.
func NewCallerLimiter[K comparable]() *CallerLimiter[K] {
	return &CallerLimiter[K]{active: make(map[K]int)}
}

// Acquire admits a request of the caller, or returns false when a limit is reached.
func (l *CallerLimiter[K]) Acquire(caller K) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	active := l.active[caller]
	if l.activeTotal >= l.Total || active >= l.PerCaller {
		return false
	}
	l.active[caller] = active + 1
	l.activeTotal++
	return true
}

// Release ends an admitted request of the caller.
func (l *CallerLimiter[K]) Release(caller K) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.activeTotal--
	if l.active[caller]--; l.active[caller] == 0 {
		delete(l.active, caller)
	}
}
