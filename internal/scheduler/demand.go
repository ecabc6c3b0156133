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
func (l *Lane[C]) Load() model.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin()
	l.Pool.Trim(max(l.demand(), l.warm()))
	now := l.Now()
	passed := min(now.Sub(l.loaded), loadSpan)
	l.loaded = now
	l.load += (float64(l.wanted()) - l.load) * float64(passed) / float64(loadSpan)
	return model.Load(l.load*float64(model.TenthsOfConnection) + 0.5)
}

// wanted returns the number of connections in use and wanted now.
func (l *Lane[C]) wanted() model.Connections {
	return l.taken + model.Connections(l.queue.Len()+l.pinsWaiting())
}

// useful returns the number of connections that work could use now: a statement that waits for a slot needs none yet.
func (l *Lane[C]) useful() model.Connections {
	waiting := min(l.queue.Len(), int(max(l.limit()-l.used, 0)))
	return l.taken + model.Connections(waiting+l.pinsWaiting())
}

// demand notes what work could use now, and returns the greatest number of this span of time and the one before.
func (l *Lane[C]) demand() model.Connections {
	now := l.Now()
	if now.Sub(l.spanned) >= l.span() {
		l.former, l.peak = l.peak, 0
		l.spanned = now
	}
	l.peak = max(l.peak, l.useful())
	return max(l.peak, l.former)
}

// warm returns the number of connections that are kept without work.
func (l *Lane[C]) warm() model.Connections {
	if l.scarce {
		return 0
	}
	return l.Warm
}

// span returns the time for which a demand is remembered at least; twice as long at most.
func (l *Lane[C]) span() time.Duration {
	if l.scarce {
		return scarceTime
	}
	return lingerTime
}

const (
	// scarceTime is long enough for the statements of one operation to follow each other on a connection.
	scarceTime = 100 * time.Millisecond
	// lingerTime is for how long an instance counts the connections of a host that it can't reach; a demand is remembered
	// for one to two such times, since what is closed sooner may be missing again before it would have made room.
	lingerTime = 3 * time.Second
	loadSpan   = 2 * time.Second // over which the load is averaged
)
