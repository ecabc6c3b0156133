package placement

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
)

// Expected round-trip times, used until an instance's own responses have been measured.
const (
	sameCentreRoundTrip  = 500 * time.Microsecond // within the data centre
	sameRegionRoundTrip  = 2 * time.Millisecond   // within the region
	crossRegionRoundTrip = 25 * time.Millisecond  // between regions
)

// primaryReadWeight is the factor on the cost of a read on the primary, which is kept free for writes and for reads of the
// newest data, as only it can serve them.
const primaryReadWeight = 2

// RoundTrip returns the expected round-trip time over an edge.
func RoundTrip(edge Edge) time.Duration {
	return [EdgeCount]time.Duration{sameCentreRoundTrip, sameRegionRoundTrip, crossRegionRoundTrip}[edge]
}

// Candidate is the state of one instance as a host knows it.
type Candidate struct {
	Instance    model.InstanceID
	Primary     bool          // believed to be the primary
	Avoid       bool          // is leaving or doesn't respond
	Tried       bool          // has already refused or failed this statement
	Edge        Edge          // between the host and it
	Expected    time.Duration // time to a response, including queueing
	RoundTrip   time.Duration // expected or measured round-trip time
	Reached     model.Point   // newest point that its log is known to hold
	BehindUntil model.Instant // time until which it isn't asked for Lacked or later points
	Lacked      model.Point   // point that it recently did not hold
	Lag         time.Duration // estimated replication lag
	Ejected     bool          // fails more than the others, and doesn't get this read

	Failure outlier.Probability // chance that it fails the statement; zero without outlier detection
}

// lagSmoothingDivisor is the divisor for the part of the difference by which the estimated lag rises with a greater sample.
const lagSmoothingDivisor = 4

const (
	// lagLifetime is how long an estimated lag counts in full without new samples; after that a read tries whether the replica has
	// caught up.
	lagLifetime = 500 * time.Millisecond
	// usualLag is the upper bound of the estimated lag after lagLifetime. Replicas are 8 to 150 ms behind in calm operation.
	usualLag = 250 * time.Millisecond
	// usualLagLifetime is how long such an estimate counts. A host of a large fleet reads from a replica about once per second, so
	// that with lagLifetime alone it would know the usual lag only half of the time.
	usualLagLifetime = 10 * time.Second
)

// Lag estimates a replica's replication lag from its responses.
//
// The estimate falls at once and rises slowly. Without samples it falls to the usual lag and later expires, since a lagging replica
// gets no reads that could show that it has caught up.
type Lag struct {
	age        time.Duration
	observedAt model.Instant
	known      bool // there was a sample
}

// Observe adds a sample: the age of the replica's data at a response.
func (l *Lag) Observe(now model.Instant, age time.Duration) {
	if !l.known || age < l.age {
		l.age = age
	} else {
		l.age += (age - l.age) / lagSmoothingDivisor
	}
	l.observedAt, l.known = now, true
}

// Bound adds an upper bound of the lag, known from a response.
func (l *Lag) Bound(now model.Instant, bound time.Duration) {
	if l.known {
		l.age, l.observedAt = min(l.age, bound), now
	}
}

// Raise adds a lower bound of the lag, known from a refused read.
func (l *Lag) Raise(now model.Instant, bound time.Duration) {
	l.age, l.observedAt, l.known = max(l.At(now), bound), now, true
}

// Adopt replaces the estimate by that of another host, which gets more of the replica's responses.
func (l *Lag) Adopt(now model.Instant, age time.Duration) {
	l.age, l.observedAt, l.known = age, now, true
}

// At returns the estimated lag, or zero when the last sample has expired.
func (l *Lag) At(now model.Instant) time.Duration {
	switch since := now.Sub(l.observedAt); {
	case since <= lagLifetime:
		return l.age
	case since <= usualLagLifetime:
		return min(l.age, usualLag)
	}
	return 0
}

// Requirement is the freshness that a read requires of an instance.
type Requirement struct {
	Now        model.Instant
	MinPoint   model.Point   // point that the log must hold
	PointKnown bool          // MinPoint is known; otherwise only the primary qualifies
	WrittenAt  model.Instant // when the primary reached MinPoint; zero when unknown
}

// None is returned when no candidate qualifies.
const None = -1

// ChooseForRead returns the index of the candidate that is expected to respond first among those that are fresh enough, or None.
func ChooseForRead(candidates []Candidate, required Requirement) int {
	best, lowest := None, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if RuledOut(c, required) != Qualifies {
			continue
		}
		if cost := Answer(c, required); best == None || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Exclusion is what rules a candidate out for a read.
type Exclusion uint8

// The exclusions.
const (
	Qualifies Exclusion = iota
	WasTried
	IsAvoided
	IsBehind
	IsEjected
)

// String returns the exclusion's name, which is empty for none.
func (e Exclusion) String() string {
	return [...]string{"", "tried", "avoided", "behind", "ejected"}[e]
}

// RuledOut returns what rules the candidate out for a read.
func RuledOut(c *Candidate, required Requirement) Exclusion {
	switch {
	case c.Tried:
		return WasTried
	case c.Avoid:
		return IsAvoided
	case !c.Primary && !freshEnough(c, required):
		return IsBehind
	case c.Ejected:
		return IsEjected
	}
	return Qualifies
}

// ChoosePrimary returns the index of the primary unless it was tried, or None.
func ChoosePrimary(candidates []Candidate) int {
	for i := range candidates {
		if candidates[i].Primary && !candidates[i].Tried {
			return i
		}
	}
	return None
}

// cost returns the expected time to a response, weighted on the primary.
func cost(c *Candidate) time.Duration {
	cost := max(c.Expected, c.RoundTrip)
	if c.Primary {
		return cost * primaryReadWeight
	}
	return cost
}

// freshEnough reports whether a replica holds the required point, or is expected to by its lag.
func freshEnough(c *Candidate, required Requirement) bool {
	if !required.PointKnown {
		return false
	}
	if c.Reached.Compare(required.MinPoint) >= 0 {
		return true
	}
	if required.Now < c.BehindUntil && required.MinPoint.Compare(c.Lacked) >= 0 {
		return false
	}
	return required.WrittenAt == 0 || required.Now.Sub(required.WrittenAt) >= c.Lag
}
