package fleet

import (
	"testing"
	"time"
)

// BenchmarkObserved measures the cost of one observed instance state, including the snapshot.
func BenchmarkObserved(b *testing.B) {
	sim := newSimulation(4, 3)
	sim.run(5 * time.Second)
	machine := sim.hosts[sim.store.rows["d0"].Owner].machine
	state := machine.databases["d0"].primary().state
	b.ReportAllocs()
	for b.Loop() {
		state.Point.Position++
		machine.Handle(sim.now, StateObserved{State: state})
		machine.Snapshot()
	}
}
