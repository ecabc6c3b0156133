package bounded

import (
	"sync"
	"time"
)

// Map keeps values for a limited time, at most a limited number, and drops the oldest first.
type Map[K comparable, V any] struct {
	// Limit is the greatest number of values.
	Limit int
	// Life is how long a value is kept.
	Life time.Duration
	// Now reads the clock.
	Now func() time.Time

	mutex  sync.Mutex
	values map[K]item[V]
	order  []added[K] // oldest first
}

// item is a value and the time at which it was added.
type item[V any] struct {
	value V
	at    time.Time
}

// added is a key and the time at which it was added.
type added[K comparable] struct {
	key K
	at  time.Time
}

// New returns an empty map whose exported fields are to be set before its use.
func New[K comparable, V any](limit int, life time.Duration) *Map[K, V] {
	return &Map[K, V]{Limit: limit, Life: life, Now: time.Now, values: map[K]item[V]{}}
}

// Put adds or replaces a value.
func (m *Map[K, V]) Put(key K, value V) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Now()
	m.values[key] = item[V]{value: value, at: now}
	m.order = append(m.order, added[K]{key: key, at: now})
	m.trim(now)
}

// Get returns the value of the key and whether it is kept.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, ok := m.values[key]
	if !ok || m.Now().Sub(found.at) >= m.Life {
		var none V
		return none, false
	}
	return found.value, true
}

// Len returns the number of values that take up room.
func (m *Map[K, V]) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.trim(m.Now())
	return len(m.values)
}

// trim drops what is too old or too much; replaced values leave an older place in the order, which is passed over.
func (m *Map[K, V]) trim(now time.Time) {
	for len(m.order) > 0 {
		oldest := m.order[0]
		newer := m.values[oldest.key].at.After(oldest.at)
		if !newer && len(m.values) <= m.Limit && now.Sub(oldest.at) < m.Life {
			return
		}
		if !newer {
			delete(m.values, oldest.key)
		}
		m.order = m.order[1:]
	}
}
