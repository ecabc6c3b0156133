package scheduler

import (
	"time"

	"redwingspread/internal/model"
)

// Load returns the moving average of the connections in use and waited for, and closes idle ones beyond the demand.
//
// The owner of the scheduler calls it at regular intervals.
//
// Connections are closed because an instance keeps counting those of a host that lost power for seconds. If all hosts fail
// at once and each had its limit open, the instance would have no connections left for them when they restart.
func (s *Scheduler[C]) Load() model.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	now := s.Now()
	s.trim(now)
	elapsed := min(now.Sub(s.loadUpdated), loadWindow)
	s.loadUpdated = now
	s.meanLoad += (float64(s.demandedConnections()) - s.meanLoad) * float64(elapsed) / float64(loadWindow)
	return model.Load(s.meanLoad*float64(model.TenthsOfConnection) + 0.5)
}

// trim closes idle connections beyond the demand. Those of tenants stay while they are used from time to time: each tenant needs its own,
// even if few work at once.
func (s *Scheduler[C]) trim(now time.Time) {
	if s.perTenant {
		s.Pool.TrimUnused(now.Add(-s.demandWindow()))
		return
	}
	s.Pool.Trim(max(s.peakDemand(), s.minConnections()))
}

// demandedConnections returns the number of connections in use plus all waiting work.
func (s *Scheduler[C]) demandedConnections() model.Connections {
	return s.connectionsInUse + model.Connections(s.queue.Len()+s.pinsWaiting())
}

// usableConnections returns the number of connections that work could use now; statements beyond the free slots need none
// yet.
func (s *Scheduler[C]) usableConnections() model.Connections {
	waiting := min(s.queue.Len(), int(max(s.inFlightLimit()-s.running, 0)))
	return s.connectionsInUse + model.Connections(waiting+s.pinsWaiting())
}

// peakDemand records the current demand and returns the peak of the current and the previous demand window.
func (s *Scheduler[C]) peakDemand() model.Connections {
	now := s.Now()
	if now.Sub(s.demandWindowStart) >= s.demandWindow() {
		s.previousDemandPeak, s.demandPeak = s.demandPeak, 0
		s.demandWindowStart = now
	}
	s.demandPeak = max(s.demandPeak, s.usableConnections())
	return max(s.demandPeak, s.previousDemandPeak)
}

// minConnections returns the number of connections to keep open without work, which is none while connections are scarce, but for
// probes.
func (s *Scheduler[C]) minConnections() model.Connections {
	switch {
	case s.probing:
		return min(s.MinConnections, probeConnections)
	case s.scarce || s.perTenant:
		return 0
	}
	return s.MinConnections
}

// demandWindow returns the length of a demand window; a peak is remembered for one to two windows.
func (s *Scheduler[C]) demandWindow() time.Duration {
	if s.scarce && !s.probing {
		return scarceDemandWindow
	}
	return defaultDemandWindow
}

// probeConnections is the number of connections kept open for probes.
const probeConnections = 1

const (
	// scarceDemandWindow is used while connections are scarce. It is long enough that the statements of one operation follow
	// each other on the same connection.
	scarceDemandWindow = 100 * time.Millisecond
	// defaultDemandWindow is the time for which an instance counts the connections of a host that it can't reach. Closing
	// connections sooner gains little, since they may be needed again before the instance would have freed them.
	defaultDemandWindow = 3 * time.Second
	loadWindow          = 2 * time.Second // time over which the load is averaged
)
