package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// ControlCost is the steady-state cost of one host's control loop in a fleet of the given size.
type ControlCost struct {
	Hosts          int           `json:"hosts"`
	Databases      int           `json:"databases"`
	CPUShare       float64       `json:"cpu_share"`         // CPU time as a fraction of one core, without network I/O
	JoinCPU        time.Duration `json:"join_cpu_ns"`       // CPU time to join the fleet
	Heap           Bytes         `json:"heap_bytes"`        // heap in use by the control loop
	BeatsPerSecond float64       `json:"beats_per_s"`       // heartbeats sent and received per second, without their responses
	Probes         float64       `json:"probes_per_s"`      // calls to instances per second
	StoreReads     float64       `json:"store_reads_per_s"` // reads of the ownership table and of the member list per second
	PeerBytes      float64       `json:"peer_bytes_per_s"`  // bytes per second of heartbeats and their responses
	ProbeBytes     float64       `json:"probe_bytes_per_s"` // bytes per second of calls to instances, without request bodies
	StoreBytes     float64       `json:"store_bytes_per_s"` // bytes per second of reads of the ownership table and of the member list
}

// measuredTime is the virtual time for which the steady state is measured.
const measuredTime = 60 * time.Second

// MeasureControlCost measures the control loop of one simulated host in a fleet of the given size; framing is the HTTP overhead
// of one call.
func MeasureControlCost(hosts, databases int, framing Bytes) ControlCost {
	e := newEnvironment(hosts, databases)
	heapBefore := heapSize()
	h := newSimulatedHost(e, framing)
	startCPU := cpuTime()
	h.join()
	joinedCPU := cpuTime()
	h.advance(measuredTime)
	used := cpuTime() - joinedCPU
	seconds := measuredTime.Seconds()
	cost := ControlCost{
		Hosts:          hosts,
		Databases:      databases,
		CPUShare:       used.Seconds() / seconds,
		JoinCPU:        joinedCPU - startCPU,
		Heap:           heapSize() - heapBefore,
		BeatsPerSecond: float64(h.traffic.heartbeats) / seconds,
		Probes:         float64(h.traffic.probes) / seconds,
		StoreReads:     float64(h.traffic.storeReads) / seconds,
		PeerBytes:      float64(h.traffic.peerBytes) / seconds,
		ProbeBytes:     float64(h.traffic.probeBytes) / seconds,
		StoreBytes:     float64(h.traffic.storeBytes) / seconds,
	}
	runtime.KeepAlive(h)
	return cost
}

// heapSize returns the size of all reachable heap objects.
func heapSize() Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Bytes(stats.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
