package bounded

import (
	"sync"
	"time"
)

// Map is a map with a size limit and a time to live. It evicts the oldest entries first, and is safe for concurrent use.
type Map[K comparable, V any] struct {
	// Limit is the maximum number of entries.
	Limit int
	// TTL is how long an entry is kept.
	TTL time.Duration
	// Now returns the current time.
	Now func() time.Time

	mutex      sync.Mutex
	values     map[K]entry[V]
	insertions []insertion[K] // oldest first; a replaced value leaves its earlier insertion behind until compact removes it
	sequence   uint64         // of the latest insertion
}

// compactSlack is the number of insertions without a value that are kept at least, so that small maps are seldom compacted.
const compactSlack = 16

// entry is a value, the time at which it was put and the sequence number of its insertion.
type entry[V any] struct {
	value    V
	addedAt  time.Time
	sequence uint64
}

// insertion is a key and the time at which it was put.
type insertion[K comparable] struct {
	key      K
	addedAt  time.Time
	sequence uint64
}

// New returns an empty map. Its exported fields may be changed only before its first use.
func New[K comparable, V any](limit int, ttl time.Duration) *Map[K, V] {
	return &Map[K, V]{Limit: limit, TTL: ttl, Now: time.Now, values: map[K]entry[V]{}}
}

// Put adds or replaces the value of the key.
func (m *Map[K, V]) Put(key K, value V) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Now()
	m.sequence++
	m.values[key] = entry[V]{value: value, addedAt: now, sequence: m.sequence}
	m.insertions = append(m.insertions, insertion[K]{key: key, addedAt: now, sequence: m.sequence})
	m.evict(now)
	if len(m.insertions) > 2*len(m.values)+compactSlack {
		m.compact()
	}
}

// Get returns the value of the key and whether it is present and not expired.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found, ok := m.values[key]
	if !ok || m.Now().Sub(found.addedAt) >= m.TTL {
		var zero V
		return zero, false
	}
	return found.value, true
}

// Len evicts expired entries and returns the number of those left.
func (m *Map[K, V]) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.evict(m.Now())
	return len(m.values)
}

// evict removes expired entries and the oldest entries above the limit. It skips insertions whose value was replaced later.
func (m *Map[K, V]) evict(now time.Time) {
	for len(m.insertions) > 0 {
		oldest := m.insertions[0]
		replaced := m.replaced(oldest)
		if !replaced && len(m.values) <= m.Limit && now.Sub(oldest.addedAt) < m.TTL {
			return
		}
		if !replaced {
			delete(m.values, oldest.key)
		}
		m.insertions = m.insertions[1:]
	}
}

// replaced reports whether the value of an insertion was replaced later.
func (m *Map[K, V]) replaced(i insertion[K]) bool { return m.values[i.key].sequence != i.sequence }

// compact removes the insertions whose value was replaced later.
func (m *Map[K, V]) compact() {
	kept := make([]insertion[K], 0, len(m.values))
	for _, i := range m.insertions {
		if !m.replaced(i) {
			kept = append(kept, i)
		}
	}
	m.insertions = kept
}
