package route

import (
	"sort"
	"sync"
	"time"

	"redwingspread/internal/model"
)

const (
	trackStamps = 1024                  // of one database
	trackStep   = 20 * time.Millisecond // between two stamps
)

// Track remembers when the recent positions of one database were written.
type Track struct {
	mutex  sync.Mutex
	term   model.Term
	stamps [trackStamps]stamp
	first  int // place of the oldest stamp
	count  int
}

// stamp is a position that was written at a time.
type stamp struct {
	position model.Position
	written  time.Time
}

// Add notes that the point was written by now.
func (t *Track) Add(point model.Point, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if point.Term < t.term {
		return
	}
	if point.Term > t.term {
		t.term, t.first, t.count = point.Term, 0, 0
	}
	if t.count > 0 {
		newest := t.at(t.count - 1)
		if point.Position <= newest.position || now.Sub(newest.written) < trackStep {
			return
		}
	}
	t.push(stamp{position: point.Position, written: now})
}

// Written returns a time by which the point was written, or the zero time when that is not known.
func (t *Track) Written(point model.Point) time.Time {
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
func (t *Track) at(place int) stamp {
	return t.stamps[(t.first+place)%trackStamps]
}

// push adds the newest stamp and drops the oldest when there is no room.
func (t *Track) push(newest stamp) {
	if t.count == trackStamps {
		t.first = (t.first + 1) % trackStamps
		t.count--
	}
	t.stamps[(t.first+t.count)%trackStamps] = newest
	t.count++
}
