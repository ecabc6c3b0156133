package fleet

import (
	"testing"
	"time"
)

// BenchmarkObserved measures what one state of an instance costs control, snapshot included.
func BenchmarkObserved(b *testing.B) {
	w := newSimulation(4, 3)
	w.run(5 * time.Second)
	machine := w.hosts[w.store.rows["d0"].Owner].machine
	state := machine.databases["d0"].primary().state
	b.ReportAllocs()
	for b.Loop() {
		state.Point.Position++
		machine.Handle(w.now, StateObserved{State: state})
		machine.Snapshot()
	}
}
