package route

import (
	"sort"
	"sync"
	"time"

	"redwingspread/internal/model"
)

const (
	maxStamps     = 1024                  // stamps kept of one database
	stampInterval = 20 * time.Millisecond // least time between two stamps
)

// WriteTimes records when recent log positions of one database were written.
type WriteTimes struct {
	mutex  sync.Mutex
	term   model.Term
	stamps [maxStamps]stamp
	oldest int // index of the oldest stamp in the ring
	count  int
}

// stamp is a log position and the time at which it was known to be written.
type stamp struct {
	position model.Position
	written  time.Time
}

// Record adds the point as written by now; points of an older term are ignored, and a newer term discards the stamps.
func (t *WriteTimes) Record(point model.Point, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if point.Term < t.term {
		return
	}
	if point.Term > t.term {
		t.term, t.oldest, t.count = point.Term, 0, 0
	}
	if t.count > 0 {
		newest := t.at(t.count - 1)
		if point.Position <= newest.position || now.Sub(newest.written) < stampInterval {
			return
		}
	}
	t.push(stamp{position: point.Position, written: now})
}

// WrittenAt returns a time by which the point was written, or the zero time when unknown.
func (t *WriteTimes) WrittenAt(point model.Point) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if point.Term > t.term {
		return time.Time{}
	}
	index := sort.Search(t.count, func(i int) bool { return t.at(i).position >= point.Position })
	if index == t.count {
		return time.Time{}
	}
	return t.at(index).written
}

// at returns the stamp at the index, counted from the oldest.
func (t *WriteTimes) at(index int) stamp {
	return t.stamps[(t.oldest+index)%maxStamps]
}

// push adds the newest stamp and drops the oldest when the ring is full.
func (t *WriteTimes) push(newest stamp) {
	if t.count == maxStamps {
		t.oldest = (t.oldest + 1) % maxStamps
		t.count--
	}
	t.stamps[(t.oldest+t.count)%maxStamps] = newest
	t.count++
}
