package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// ControlCost is what the control of one daemon costs in a fleet of a size, in the steady state.
type ControlCost struct {
	Hosts          int           `json:"hosts"`
	Databases      int           `json:"databases"`
	CPUShare       float64       `json:"cpu_share"`         // of one core, without the network
	JoinCPU        time.Duration `json:"join_cpu_ns"`       // processor time to join the fleet
	Heap           Bytes         `json:"heap_bytes"`        // state of control
	BeatsPerSecond float64       `json:"beats_per_s"`       // heartbeats, both ways
	Probes         float64       `json:"probes_per_s"`      // of instances
	StoreReads     float64       `json:"store_reads_per_s"` // of the table and the list
	PeerBytes      float64       `json:"peer_bytes_per_s"`
	ProbeBytes     float64       `json:"probe_bytes_per_s"`
	StoreBytes     float64       `json:"store_bytes_per_s"`
}

// measuredTime is the virtual time over which a steady state is measured.
const measuredTime = 60 * time.Second

// MeasureControlCost measures the control of one daemon in a fleet of the sizes, whose calls have headers of the size.
func MeasureControlCost(hosts, databases int, framing Bytes) ControlCost {
	o := newEnvironment(hosts, databases)
	before := heapSize()
	d := newSimulatedDaemon(o, framing)
	begin := processorTime()
	d.join()
	joined := processorTime()
	d.advance(measuredTime)
	spent := processorTime() - joined
	seconds := measuredTime.Seconds()
	control := ControlCost{
		Hosts:          hosts,
		Databases:      databases,
		CPUShare:       spent.Seconds() / seconds,
		JoinCPU:        joined - begin,
		Heap:           heapSize() - before,
		BeatsPerSecond: float64(d.traffic.heartbeats) / seconds,
		Probes:         float64(d.traffic.probes) / seconds,
		StoreReads:     float64(d.traffic.storeReads) / seconds,
		PeerBytes:      float64(d.traffic.peerBytes) / seconds,
		ProbeBytes:     float64(d.traffic.probeBytes) / seconds,
		StoreBytes:     float64(d.traffic.storeBytes) / seconds,
	}
	runtime.KeepAlive(d)
	return control
}

// heapSize returns the size of everything that is in use.
func heapSize() Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Bytes(stats.HeapAlloc)
}

// processorTime returns the processor time that this process has spent.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
