package data

import (
	"cmp"
	"maps"
	"slices"
)

// undoLog holds the inverse of each change since it was emptied.
type undoLog struct {
	inverses []func()
}

// record keeps the inverse of one change.
func (j *undoLog) record(inverse func()) {
	j.inverses = append(j.inverses, inverse)
}

// reset drops the inverses, which makes the changes final.
func (j *undoLog) reset() {
	j.inverses = j.inverses[:0]
}

// rollback undoes the changes, newest first.
func (j *undoLog) rollback() {
	for _, inverse := range slices.Backward(j.inverses) {
		inverse()
	}
	j.reset()
}

// table holds values by key and records the inverse of each change.
type table[K cmp.Ordered, V any] struct {
	undoLog *undoLog
	rows    map[K]V
}

// newTable returns an empty table.
func newTable[K cmp.Ordered, V any](j *undoLog) table[K, V] {
	return table[K, V]{undoLog: j, rows: map[K]V{}}
}

// get returns the value of a key and whether there is one.
func (t table[K, V]) get(key K) (V, bool) {
	value, found := t.rows[key]
	return value, found
}

// put sets the value of a key.
func (t table[K, V]) put(key K, value V) {
	old, found := t.rows[key]
	t.rows[key] = value
	t.undoLog.record(func() {
		if found {
			t.rows[key] = old
			return
		}
		delete(t.rows, key)
	})
}

// keys returns the keys in order.
func (t table[K, V]) keys() []K {
	return slices.Sorted(maps.Keys(t.rows))
}
