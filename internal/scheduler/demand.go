package scheduler

import (
	"time"

	"redwingspread/internal/model"
)

// Load returns the mean number of connections in use and wanted of late, and closes idle ones beyond the demand.
//
// The lane's owner calls it at regular times.
//
// It answers the loss of all hosts at once: connections of a host without power count at the instance for seconds, and a
// fleet that kept them all open would find no room when it is back.
func (l *Scheduler[C]) Load() model.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applySettings()
	l.Pool.Trim(max(l.peakDemand(), l.minConnections()))
	now := l.Now()
	passed := min(now.Sub(l.loadUpdated), loadWindow)
	l.loadUpdated = now
	l.meanLoad += (float64(l.demandedConnections()) - l.meanLoad) * float64(passed) / float64(loadWindow)
	return model.Load(l.meanLoad*float64(model.TenthsOfConnection) + 0.5)
}

// demandedConnections returns the number of connections in use and wanted now.
func (l *Scheduler[C]) demandedConnections() model.Connections {
	return l.connectionsInUse + model.Connections(l.queue.Len()+l.pinsWaiting())
}

// usableConnections returns the number of connections that work could use now: a statement that waits for a slot needs none yet.
func (l *Scheduler[C]) usableConnections() model.Connections {
	waiting := min(l.queue.Len(), int(max(l.inFlightLimit()-l.running, 0)))
	return l.connectionsInUse + model.Connections(waiting+l.pinsWaiting())
}

// peakDemand notes what work could use now, and returns the greatest number of this span of time and the one before.
func (l *Scheduler[C]) peakDemand() model.Connections {
	now := l.Now()
	if now.Sub(l.demandWindowStart) >= l.demandWindow() {
		l.previousDemandPeak, l.demandPeak = l.demandPeak, 0
		l.demandWindowStart = now
	}
	l.demandPeak = max(l.demandPeak, l.usableConnections())
	return max(l.demandPeak, l.previousDemandPeak)
}

// minConnections returns the number of connections that are kept without work.
func (l *Scheduler[C]) minConnections() model.Connections {
	if l.scarce {
		return 0
	}
	return l.MinConnections
}

// demandWindow returns the time for which a demand is remembered at least; twice as long at most.
func (l *Scheduler[C]) demandWindow() time.Duration {
	if l.scarce {
		return scarceDemandWindow
	}
	return defaultDemandWindow
}

const (
	// scarceDemandWindow is long enough for the statements of one operation to follow each other on a connection.
	scarceDemandWindow = 100 * time.Millisecond
	// defaultDemandWindow is for how long an instance counts the connections of a host that it can't reach; a demand is remembered
	// for one to two such times, since what is closed sooner may be missing again before it would have made room.
	defaultDemandWindow = 3 * time.Second
	loadWindow          = 2 * time.Second // over which the load is averaged
)
