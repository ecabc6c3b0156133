package freshness

import (
	"sort"
	"time"

	"redwingspread/internal/model"
)

const (
	maxSamples    = 256                   // samples kept of one database
	sampleSpacing = 10 * time.Millisecond // least time between two samples; together with maxSamples it covers the usual max ages
)

// sample is a log position of the primary, confirmed by a statement that was sent at the given time.
//
// Every commit acknowledged before that time lies at or before the point.
type sample struct {
	sentAt model.Instant
	point  model.Point
}

// PointHistory holds recent log positions confirmed by the primaries of one database, oldest first.
//
// Positions are dated by when the statement was sent, so that neither a slow response nor a suspended host makes a position
// look newer than it is.
type PointHistory struct {
	term    model.Term
	samples []sample
}

// Observe adds a position reported in response to a statement that only a primary runs, with the time at which it was sent.
//
// It is skipped when it comes less than sampleSpacing after the previous one. A position of a newer term discards all older
// ones, since the promotion may have discarded their commits.
func (h *PointHistory) Observe(sent model.Instant, point model.Point) {
	if point.Term < h.term {
		return
	}
	if point.Term > h.term {
		h.term = point.Term
		h.samples = h.samples[:0]
	}
	if last := len(h.samples) - 1; last >= 0 && sent.Sub(h.samples[last].sentAt) < sampleSpacing {
		return
	}
	if len(h.samples) >= maxSamples {
		h.samples = h.samples[:copy(h.samples, h.samples[1:])]
	}
	h.samples = append(h.samples, sample{sent, point})
}

// Term returns the newest term seen.
func (h *PointHistory) Term() model.Term { return h.term }

// MinPoint returns a point that includes every commit acknowledged longer ago than the max age, and whether one is known.
func (h *PointHistory) MinPoint(now model.Instant, maxAge time.Duration) (model.Point, bool) {
	earliest := now.Add(-maxAge)
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].sentAt >= earliest })
	if i == len(h.samples) {
		return model.Point{}, false
	}
	return h.samples[i].point, true
}

// WithCommit returns the minimum point for a read that must also see a commit of its own session.
//
// A commit of an older term lies before every point of the newest term, or was discarded by the promotion.
func (h *PointHistory) WithCommit(minimum, commit model.Point) model.Point {
	if commit.Term < minimum.Term || commit.Compare(minimum) <= 0 {
		return minimum
	}
	return commit
}

// ReachedAt returns when the primary was first seen at or past the point, and whether that is known.
func (h *PointHistory) ReachedAt(point model.Point) (model.Instant, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].point.Compare(point) >= 0 })
	if i == len(h.samples) {
		return 0, false
	}
	return h.samples[i].sentAt, true
}

// PassedAt estimates when the primary went past the point, and reports whether it is known to have done so. Between two samples
// the estimate assumes a steady rate of commits: many hosts see a position only every few hundred milliseconds.
func (h *PointHistory) PassedAt(point model.Point) (model.Instant, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].point.Compare(point) > 0 })
	if i == len(h.samples) {
		return 0, false
	}
	if i == 0 {
		return h.samples[0].sentAt, true
	}
	before, after := h.samples[i-1], h.samples[i]
	part := float64(point.Position-before.point.Position) / float64(after.point.Position-before.point.Position)
	return before.sentAt.Add(time.Duration(part * float64(after.sentAt.Sub(before.sentAt)))), true
}

// Newest returns when the statement of the newest position was sent, and whether there is one.
func (h *PointHistory) Newest() (model.Instant, bool) {
	if len(h.samples) == 0 {
		return 0, false
	}
	return h.samples[len(h.samples)-1].sentAt, true
}

// LagOf returns by how much time a replica at the point is behind the newest sample.
func (h *PointHistory) LagOf(point model.Point) time.Duration {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].point.Compare(point) > 0 })
	if i == len(h.samples) {
		return 0
	}
	return h.samples[len(h.samples)-1].sentAt.Sub(h.samples[i].sentAt)
}
