package placement

import (
	"time"

	"redwingspread/internal/model"
)

// The expected times of a round trip, until an instance's own answers tell more.
const (
	sameCentreRoundTrip  = 500 * time.Microsecond // within the data centre
	sameRegionRoundTrip  = 2 * time.Millisecond   // within the region
	crossRegionRoundTrip = 25 * time.Millisecond  // between regions
)

// primaryReadWeight is how much more a read on the primary counts: only the primary can carry out writes and the newest reads.
const primaryReadWeight = 2

// RoundTrip returns the expected time of a round trip between two data centres.
func RoundTrip(sameCentre, sameRegion bool) time.Duration {
	switch {
	case sameCentre:
		return sameCentreRoundTrip
	case sameRegion:
		return sameRegionRoundTrip
	}
	return crossRegionRoundTrip
}

// Candidate is one instance as a host sees it.
type Candidate struct {
	Primary     bool          // believed to lead
	Avoid       bool          // leaves, or did not answer of late
	Tried       bool          // has refused or failed this statement already
	Expected    time.Duration // until it answers, its queue included
	RoundTrip   time.Duration
	Reached     model.Point   // newest point that its log was seen to hold
	BehindUntil model.Instant // until then it is not asked for points past Reached; it said that it lacked some
	Lag         time.Duration // learnt age of its log
}

// lagSmoothing is the part of a greater sample, one in this many, by which a learnt lag rises.
const lagSmoothing = 4

// lagLifetime is how long a learnt lag keeps reads away; then one of them tries whether the replica has caught up.
const lagLifetime = 500 * time.Millisecond

// Lag learns the age of a replica's log from its answers.
//
// It falls at once and rises slowly, and is forgotten without answers: a replica that lagged for a while gets no reads
// that could show that it has caught up.
type Lag struct {
	age        time.Duration
	observedAt model.Instant
}

// Observe takes a sample.
func (l *Lag) Observe(now model.Instant, age time.Duration) {
	if age < l.age {
		l.age = age
	} else {
		l.age += (age - l.age) / lagSmoothing
	}
	l.observedAt = now
}

// At returns the learnt age, and zero when it is too old to tell.
func (l *Lag) At(now model.Instant) time.Duration {
	if now.Sub(l.observedAt) > lagLifetime {
		return 0
	}
	return l.age
}

// Requirement is what a read asks of an instance.
type Requirement struct {
	Now        model.Instant
	MinPoint   model.Point   // the log must hold this point
	PointKnown bool          // Least is known; otherwise only the primary will do
	WrittenAt  model.Instant // when Least was reached by the primary; zero when unknown
}

// None is the index of no candidate.
const None = -1

// ChooseForRead returns the index of the candidate that is expected to answer first among those whose log will do, or None.
func ChooseForRead(candidates []Candidate, want Requirement) int {
	best, least := None, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Tried || c.Avoid || (!c.Primary && !freshEnough(c, want)) {
			continue
		}
		if cost := cost(c); best == None || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// ChoosePrimary returns the index of the candidate that is believed to lead, or None.
func ChoosePrimary(candidates []Candidate) int {
	for i := range candidates {
		if candidates[i].Primary && !candidates[i].Tried {
			return i
		}
	}
	return None
}

// cost returns the time to an answer, weighed by what else the instance is needed for.
func cost(c *Candidate) time.Duration {
	cost := max(c.Expected, c.RoundTrip)
	if c.Primary {
		return cost * primaryReadWeight
	}
	return cost
}

// freshEnough reports whether a replica holds the point, or is expected to.
func freshEnough(c *Candidate, want Requirement) bool {
	if !want.PointKnown {
		return false
	}
	if c.Reached.Compare(want.MinPoint) >= 0 {
		return true
	}
	if want.Now < c.BehindUntil {
		return false
	}
	return want.WrittenAt == 0 || want.Now.Sub(want.WrittenAt) >= c.Lag
}
