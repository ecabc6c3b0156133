package admit

import (
	"time"

	"redwingspread/internal/model"
)

// ServiceTimes learns the slot time of each kind of work from measurements.
type ServiceTimes struct {
	kinds map[model.KindID]*estimate
	all   estimate
}

// estimate is an exponentially weighted mean that halves for each half-life without a sample.
type estimate struct {
	mean       time.Duration
	lastSample time.Time
}

const (
	smoothingDivisor = 8           // a sample moves the mean by one part in this many
	halfLife         = time.Second // an unsampled mean halves in this time, so that a probe is let through
	maxKinds         = 1024        // kinds that are told apart
)

// NewServiceTimes returns a learner that knows nothing.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{kinds: make(map[model.KindID]*estimate)}
}

// Observe takes one measured slot time.
func (s *ServiceTimes) Observe(now time.Time, kind model.KindID, took time.Duration) {
	s.all.observe(now, took)
	known, found := s.kinds[kind]
	if !found {
		if len(s.kinds) >= maxKinds {
			return
		}
		known = &estimate{}
		s.kinds[kind] = known
	}
	known.observe(now, took)
}

// Expected returns the expected slot time of the kind, or of all work when the kind is unknown.
func (s *ServiceTimes) Expected(now time.Time, kind model.KindID) time.Duration {
	if known, found := s.kinds[kind]; found {
		return known.at(now)
	}
	return s.all.at(now)
}

// Mean returns the expected slot time of all work.
func (s *ServiceTimes) Mean(now time.Time) time.Duration {
	return s.all.at(now)
}

// observe moves the mean towards the sample.
func (e *estimate) observe(now time.Time, took time.Duration) {
	if e.lastSample.IsZero() {
		e.mean = took
	} else {
		e.mean += (took - e.mean) / smoothingDivisor
	}
	e.lastSample = now
}

// at returns the mean, halved for each half-life since the last sample.
func (e *estimate) at(now time.Time) time.Duration {
	idle := now.Sub(e.lastSample) / halfLife
	if idle <= 0 || e.mean == 0 {
		return e.mean
	}
	return e.mean >> min(idle, 62)
}
