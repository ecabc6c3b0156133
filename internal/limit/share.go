package limit

import (
	"sync"

	"redwingspread/internal/model"
)

// wantTime is the time in nanoseconds for which a sharer that was refused a place, or gave one back, counts as wanting some.
const wantTime = model.Instant(1e9)

// Parts of a ShareLimiter's limit.
const (
	shareDivisor = 4 // a sharer may take the limit divided by this while others want some
	aloneShares  = 3 // so many shares while none does, which leaves one to the next
)

// ShareLimiter shares a number of places fairly: a sharer takes no more than a quarter of them while others want some.
type ShareLimiter[K comparable] struct {
	// Limit is the number of places.
	Limit int
	// Now returns the current time.
	Now func() model.Instant

	mutex   sync.Mutex
	total   int
	sharers map[K]*sharer
}

// sharer is one of those that take places. It is forgotten once it has none and wants none.
type sharer struct {
	taken int
	seen  model.Instant // when it took, gave back or was refused a place
}

// NewShareLimiter returns a limiter; its exported fields have to be set before use.
func NewShareLimiter[K comparable]() *ShareLimiter[K] {
	return &ShareLimiter[K]{sharers: make(map[K]*sharer)}
}

// Acquire takes a place for a sharer, or returns false if it may have none.
func (l *ShareLimiter[K]) Acquire(key K) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	own, found := l.sharers[key]
	if !found {
		own = &sharer{}
		l.sharers[key] = own
	}
	own.seen = now
	if l.total >= l.Limit {
		return false
	}
	share := max(l.Limit/shareDivisor, 1)
	if own.taken >= share && (own.taken >= aloneShares*share || l.othersWant(key, now)) {
		return false
	}
	own.taken++
	l.total++
	return true
}

// othersWant reports whether a sharer other than the one with the key has a place or wants one. It forgets those that don't.
func (l *ShareLimiter[K]) othersWant(key K, now model.Instant) bool {
	want := false
	for other, s := range l.sharers {
		switch {
		case other == key:
		case s.taken > 0 || now-s.seen < wantTime:
			want = true
		default:
			delete(l.sharers, other)
		}
	}
	return want
}

// Release gives a place of a sharer back.
func (l *ShareLimiter[K]) Release(key K) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.sharers[key]
	own.taken--
	own.seen = l.Now()
	l.total--
}

// Taken returns the number of places taken.
func (l *ShareLimiter[K]) Taken() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}
