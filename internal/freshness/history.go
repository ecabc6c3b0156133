package freshness

import (
	"sort"
	"time"

	"redwingspread/internal/model"
)

const (
	maxSamples    = 256                   // marks that are kept
	sampleSpacing = 10 * time.Millisecond // least time between two marks; with the limit it covers the usual ages
)

// sample says that the log, as its primary held it, had the point when a statement that left at the moment ran.
//
// Every commit that was acknowledged before the moment lies at or before the point.
type sample struct {
	sentAt model.Instant
	point  model.Point
}

// PointHistory holds the positions that primaries of one database proved, oldest first.
//
// The moments are those of sending, so that neither a slow answer nor a sleep of the host makes a position look newer.
type PointHistory struct {
	term    model.Term
	samples []sample
}

// Observe takes a position that an instance told in a statement that only a primary carries out, and when that was sent.
//
// A position of a newer term drops all older ones: a promotion may have rolled their commits back.
func (m *PointHistory) Observe(sent model.Instant, point model.Point) {
	if point.Term < m.term {
		return
	}
	if point.Term > m.term {
		m.term = point.Term
		m.samples = m.samples[:0]
	}
	if last := len(m.samples) - 1; last >= 0 && sent.Sub(m.samples[last].sentAt) < sampleSpacing {
		return
	}
	if len(m.samples) >= maxSamples {
		m.samples = m.samples[:copy(m.samples, m.samples[1:])]
	}
	m.samples = append(m.samples, sample{sent, point})
}

// Term returns the newest term of a proven position.
func (m *PointHistory) Term() model.Term { return m.term }

// MinPoint returns the least point that holds every commit acknowledged longer ago than the age, and whether one is known.
func (m *PointHistory) MinPoint(now model.Instant, age time.Duration) (model.Point, bool) {
	oldest := now.Add(-age)
	i := sort.Search(len(m.samples), func(i int) bool { return m.samples[i].sentAt >= oldest })
	if i == len(m.samples) {
		return model.Point{}, false
	}
	return m.samples[i].point, true
}

// WithCommit returns the least point that also holds a commit of the session.
//
// A commit of an older term lies before every point of the newest term, or was rolled back by its promotion.
func (m *PointHistory) WithCommit(least, commit model.Point) model.Point {
	if commit.Term < least.Term || commit.Compare(least) <= 0 {
		return least
	}
	return commit
}

// ReachedAt returns when the primary was first seen at or past the point, and whether that is known.
func (m *PointHistory) ReachedAt(point model.Point) (model.Instant, bool) {
	i := sort.Search(len(m.samples), func(i int) bool { return m.samples[i].point.Compare(point) >= 0 })
	if i == len(m.samples) {
		return 0, false
	}
	return m.samples[i].sentAt, true
}

// LagOf returns how long before the newest mark the primary went past the point.
func (m *PointHistory) LagOf(point model.Point) time.Duration {
	i := sort.Search(len(m.samples), func(i int) bool { return m.samples[i].point.Compare(point) > 0 })
	if i == len(m.samples) {
		return 0
	}
	return m.samples[len(m.samples)-1].sentAt.Sub(m.samples[i].sentAt)
}
