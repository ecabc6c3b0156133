package freshness

import (
	"sort"
	"time"

	"redwingspread/internal/model"
)

const (
	markLimit   = 256                   // marks that are kept
	markSpacing = 10 * time.Millisecond // least time between two marks; with the limit it covers the usual ages
)

// mark says that the log, as its primary held it, had the point when a statement that left at the moment ran.
//
// Every commit that was acknowledged before the moment lies at or before the point.
type mark struct {
	at    model.Instant
	point model.Point
}

// Marks holds the positions that primaries of one database proved, oldest first.
//
// The moments are those of sending, so that neither a slow answer nor a sleep of the host makes a position look newer.
type Marks struct {
	term  model.Term
	marks []mark
}

// Observe takes a position that an instance told in a statement that only a primary carries out, and when that was sent.
//
// A position of a newer term drops all older ones: a promotion may have rolled their commits back.
func (m *Marks) Observe(sent model.Instant, point model.Point) {
	if point.Term < m.term {
		return
	}
	if point.Term > m.term {
		m.term = point.Term
		m.marks = m.marks[:0]
	}
	if last := len(m.marks) - 1; last >= 0 && sent.Sub(m.marks[last].at) < markSpacing {
		return
	}
	if len(m.marks) >= markLimit {
		m.marks = m.marks[:copy(m.marks, m.marks[1:])]
	}
	m.marks = append(m.marks, mark{sent, point})
}

// Term returns the newest term of a proven position.
func (m *Marks) Term() model.Term { return m.term }

// Least returns the least point that holds every commit acknowledged longer ago than the age, and whether one is known.
func (m *Marks) Least(now model.Instant, age time.Duration) (model.Point, bool) {
	oldest := now.Add(-age)
	i := sort.Search(len(m.marks), func(i int) bool { return m.marks[i].at >= oldest })
	if i == len(m.marks) {
		return model.Point{}, false
	}
	return m.marks[i].point, true
}

// Own returns the least point that also holds a commit of the session.
//
// A commit of an older term lies before every point of the newest term, or was rolled back by its promotion.
func (m *Marks) Own(least, commit model.Point) model.Point {
	if commit.Term < least.Term || commit.Compare(least) <= 0 {
		return least
	}
	return commit
}

// Reached returns when the primary was first seen at or past the point, and whether that is known.
func (m *Marks) Reached(point model.Point) (model.Instant, bool) {
	i := sort.Search(len(m.marks), func(i int) bool { return m.marks[i].point.Compare(point) >= 0 })
	if i == len(m.marks) {
		return 0, false
	}
	return m.marks[i].at, true
}

// Span returns how long before the newest mark the primary went past the point.
func (m *Marks) Span(point model.Point) time.Duration {
	i := sort.Search(len(m.marks), func(i int) bool { return m.marks[i].point.Compare(point) > 0 })
	if i == len(m.marks) {
		return 0
	}
	return m.marks[len(m.marks)-1].at.Sub(m.marks[i].at)
}
