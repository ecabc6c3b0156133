package data

import (
	"cmp"
	"maps"
	"slices"
)

// undoLog holds the inverses of the changes since the last reset.
type undoLog struct {
	inverses []func()
}

// record adds the inverse of a change.
func (u *undoLog) record(inverse func()) {
	u.inverses = append(u.inverses, inverse)
}

// reset discards the inverses, which makes the changes final.
func (u *undoLog) reset() {
	u.inverses = u.inverses[:0]
}

// rollback undoes the recorded changes, newest first.
func (u *undoLog) rollback() {
	for _, inverse := range slices.Backward(u.inverses) {
		inverse()
	}
	u.reset()
}

// table maps keys to values and records the inverse of each change.
type table[K cmp.Ordered, V any] struct {
	undoLog *undoLog
	rows    map[K]V
}

// newTable returns an empty table that records its changes in the undo log.
func newTable[K cmp.Ordered, V any](undo *undoLog) table[K, V] {
	return table[K, V]{undoLog: undo, rows: map[K]V{}}
}

// get returns the value of a key and whether it exists.
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

// keys returns the keys in ascending order.
func (t table[K, V]) keys() []K {
	return slices.Sorted(maps.Keys(t.rows))
}
