package admit

import (
	"time"

	"redwingspread/internal/model"
)

// ServiceTimes estimates from measurements the slot time of each kind of work, that is how long it occupies a slot.
type ServiceTimes struct {
	kinds map[model.KindID]*estimate
	all   estimate // of work of all kinds together
}

// estimate is an exponentially weighted moving average that halves for each half-life without a sample.
type estimate struct {
	mean       time.Duration
	lastSample time.Time
}

const (
	smoothingDivisor = 8           // a sample moves the mean by its distance divided by this
	halfLife         = time.Second // time in which a mean without samples halves, so that work refused as too slow is eventually let through as a probe
	maxKinds         = 1024        // number of kinds tracked separately
)

// NewServiceTimes returns an estimator without samples.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{kinds: make(map[model.KindID]*estimate)}
}

// Observe records one measured slot time.
func (s *ServiceTimes) Observe(now time.Time, kind model.KindID, slotTime time.Duration) {
	s.all.observe(now, slotTime)
	kindEstimate, found := s.kinds[kind]
	if !found {
		if len(s.kinds) >= maxKinds {
			return
		}
		kindEstimate = &estimate{}
		s.kinds[kind] = kindEstimate
	}
	kindEstimate.observe(now, slotTime)
}

// Expected returns the expected slot time of the kind, or of all work if the kind has no estimate.
func (s *ServiceTimes) Expected(now time.Time, kind model.KindID) time.Duration {
	if kindEstimate, found := s.kinds[kind]; found {
		return kindEstimate.at(now)
	}
	return s.all.at(now)
}

// Mean returns the expected slot time of all work.
func (s *ServiceTimes) Mean(now time.Time) time.Duration {
	return s.all.at(now)
}

// observe moves the mean towards the sample.
func (e *estimate) observe(now time.Time, slotTime time.Duration) {
	if e.lastSample.IsZero() {
		e.mean = slotTime
	} else {
		e.mean += (slotTime - e.mean) / smoothingDivisor
	}
	e.lastSample = now
}

// at returns the mean, halved for each half-life since the last sample.
func (e *estimate) at(now time.Time) time.Duration {
	halvings := now.Sub(e.lastSample) / halfLife
	if halvings <= 0 || e.mean == 0 {
		return e.mean
	}
	return e.mean >> min(halvings, 62)
}
