package route

import (
	"sort"
	"sync"
	"time"

	"redwingspread/internal/model"
)

const (
	maxStamps     = 1024                  // of one database
	stampInterval = 20 * time.Millisecond // between two stamps
)

// WriteTimes remembers when the recent positions of one database were written.
type WriteTimes struct {
	mutex  sync.Mutex
	term   model.Term
	stamps [maxStamps]stamp
	oldest int // place of the oldest stamp
	count  int
}

// stamp is a position that was written at a time.
type stamp struct {
	position model.Position
	written  time.Time
}

// Record notes that the point was written by now.
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

// WrittenAt returns a time by which the point was written, or the zero time when that is not known.
func (t *WriteTimes) WrittenAt(point model.Point) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if point.Term > t.term {
		return time.Time{}
	}
	place := sort.Search(t.count, func(i int) bool { return t.at(i).position >= point.Position })
	if place == t.count {
		return time.Time{}
	}
	return t.at(place).written
}

// at returns the stamp at the place, counted from the oldest.
func (t *WriteTimes) at(place int) stamp {
	return t.stamps[(t.oldest+place)%maxStamps]
}

// push adds the newest stamp and drops the oldest when there is no room.
func (t *WriteTimes) push(newest stamp) {
	if t.count == maxStamps {
		t.oldest = (t.oldest + 1) % maxStamps
		t.count--
	}
	t.stamps[(t.oldest+t.count)%maxStamps] = newest
	t.count++
}
