package bounded

import (
	"sync"
	"time"
)

// Map keeps values for a limited time, at most a limited number, and drops the oldest first.
type Map[K comparable, V any] struct {
	// Limit is the greatest number of values.
	Limit int
	// TTL is how long a value is kept.
	TTL time.Duration
	// Now reads the clock.
	Now func() time.Time

	mutex      sync.Mutex
	values     map[K]entry[V]
	insertions []insertion[K] // oldest first
}

// entry is a value and the time at which it was added.
type entry[V any] struct {
	value   V
	addedAt time.Time
}

// insertion is a key and the time at which it was added.
type insertion[K comparable] struct {
	key     K
	addedAt time.Time
}

// New returns an empty map whose exported fields are to be set before its use.
func New[K comparable, V any](limit int, life time.Duration) *Map[K, V] {
	return &Map[K, V]{Limit: limit, TTL: life, Now: time.Now, values: map[K]entry[V]{}}
}

// Put adds or replaces a value.
func (m *Map[K, V]) Put(key K, value V) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Now()
	m.values[key] = entry[V]{value: value, addedAt: now}
	m.insertions = append(m.insertions, insertion[K]{key: key, addedAt: now})
	m.evict(now)
}

// Get returns the value of the key and whether it is kept.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, ok := m.values[key]
	if !ok || m.Now().Sub(found.addedAt) >= m.TTL {
		var none V
		return none, false
	}
	return found.value, true
}

// Len returns the number of values that take up room.
func (m *Map[K, V]) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.evict(m.Now())
	return len(m.values)
}

// evict drops what is too old or too much; replaced values leave an older place in the order, which is passed over.
func (m *Map[K, V]) evict(now time.Time) {
	for len(m.insertions) > 0 {
		oldest := m.insertions[0]
		newer := m.values[oldest.key].addedAt.After(oldest.addedAt)
		if !newer && len(m.values) <= m.Limit && now.Sub(oldest.addedAt) < m.TTL {
			return
		}
		if !newer {
			delete(m.values, oldest.key)
		}
		m.insertions = m.insertions[1:]
	}
}
