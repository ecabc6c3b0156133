package outlier

import (
	"time"

	"redwingspread/internal/model"
)

const (
	minOutcomes    = 5   // of an instance that is ejected, and of the one that it is compared with
	minProbability = 0.1 // below which no instance is ejected
	minRatio       = 3   // to the best instance

	firstEjection = time.Second
	maxEjection   = 8 * time.Second // also the time after a return in which another ejection takes twice as long
	jitterDivisor = 4               // an ejection is longer by up to this part, so that hosts don't send reads again all at once

	probeInterval = 20                     // reads for each one that an ejected instance gets nevertheless
	rampStep      = 250 * time.Millisecond // between two increases of the share of an instance that has returned
	firstShare    = 1.0 / 3                // of the usual reads, after a return
	shareStep     = 1.0 / 6                // of an increase
)

// Group holds the outcomes of the instances of one database. It is not safe for concurrent use.
type Group[ID comparable] struct {
	// Jitter returns a number from 0 up to 1; nil for no jitter.
	Jitter func() float64

	members map[ID]*member
}

// member is an instance.
type member struct {
	window
	born         model.Incarnation
	ejectedUntil model.Instant // end of the latest ejection; zero when there was none
	length       time.Duration // of that ejection, without jitter
	level        Probability   // failure probability at its start
	since        counts        // outcomes since its start
	reported     bool          // its end has been reported
	skipped      int           // reads that did not go to the instance since the last probe
	credit       float64       // part of a read that the returning instance has not been given yet
	totals       Totals
}

// Totals are the counts of an instance since it is known.
type Totals struct {
	Failures  int64
	Ejections int64
}

// Report describes an ejection or a return.
type Report struct {
	Probability Probability
	Outcomes    int           // in the window; at a return, those during the ejection
	Failures    int           // among them
	For         time.Duration // of the ejection
}

// Health is the state of an instance.
type Health struct {
	Probability Probability // of a failure
	Share       float64     // of its usual reads that the instance gets: 0 while it is ejected, rising to 1 after that
	Level       Probability // of a failure, when it was ejected
}

// Ejected reports whether the instance is ejected.
func (h *Health) Ejected() bool { return h.Share == 0 }

// Outlying reports whether the instance gets fewer reads than usual, given the best of the others: where all fail, none is an outlier.
func (h *Health) Outlying(best Probability) bool {
	return h.Share < 1 && (best <= minProbability || h.Level >= minRatio*best)
}

// New returns a group without instances.
func New[ID comparable]() *Group[ID] { return &Group[ID]{members: make(map[ID]*member)} }

// Add adds an instance. One that is known under another incarnation has been restarted, and begins anew.
func (g *Group[ID]) Add(id ID, born model.Incarnation) {
	if m, found := g.members[id]; found && m.born == born {
		return
	}
	g.members[id] = &member{born: born, reported: true}
}

// Remove removes an instance.
func (g *Group[ID]) Remove(id ID) { delete(g.members, id) }

// Observe counts an outcome, and reports whether it has the instance ejected.
func (g *Group[ID]) Observe(now model.Instant, id ID, outcome Outcome) (report Report, ejected bool) {
	m, found := g.members[id]
	if !found {
		return report, false
	}
	m.add(now, outcome)
	m.since.outcomes++
	if outcome == Answered {
		return report, false
	}
	m.since.failures++
	m.totals.Failures++
	probability, total := m.estimate(now)
	if now < m.ejectedUntil || total.outcomes < minOutcomes || probability <= minProbability || !g.mayEject(now, id, probability) {
		return report, false
	}
	m.length = g.nextLength(now, m)
	m.ejectedUntil = now.Add(m.length + g.jitter(m.length))
	m.level, m.since, m.reported, m.skipped, m.credit = probability, counts{}, false, 0, 0
	m.totals.Ejections++
	return Report{Probability: probability, Outcomes: int(total.outcomes), Failures: int(total.failures), For: m.ejectedUntil.Sub(now)}, true
}

// mayEject reports whether an instance fails far more than the best of the others, and few enough are ejected.
func (g *Group[ID]) mayEject(now model.Instant, id ID, probability Probability) bool {
	ejected, compared := 1, false
	best := Probability(1)
	for other, m := range g.members {
		if other == id {
			continue
		}
		if now < m.ejectedUntil {
			ejected++
		}
		if p, total := m.estimate(now); total.outcomes >= minOutcomes && p <= best {
			best, compared = p, true
		}
	}
	return compared && probability >= minRatio*best && ejected <= len(g.members)/2
}

// nextLength returns the length of the next ejection.
func (g *Group[ID]) nextLength(now model.Instant, m *member) time.Duration {
	if m.ejectedUntil == 0 || now.Sub(m.ejectedUntil) > maxEjection {
		return firstEjection
	}
	return min(2*m.length, maxEjection)
}

// jitter returns a random part of an ejection.
func (g *Group[ID]) jitter(length time.Duration) time.Duration {
	if g.Jitter == nil {
		return 0
	}
	return time.Duration(g.Jitter() * float64(length/jitterDivisor))
}

// Returned calls the function for each instance whose ejection has ended since the last call.
func (g *Group[ID]) Returned(now model.Instant, do func(ID, Report)) {
	for id, m := range g.members {
		if m.reported || now < m.ejectedUntil {
			continue
		}
		m.reported = true
		probability, _ := m.estimate(now)
		do(id, Report{Probability: probability, Outcomes: int(m.since.outcomes), Failures: int(m.since.failures), For: m.length})
	}
}

// Health returns the state of an instance; one that is not known is healthy.
func (g *Group[ID]) Health(now model.Instant, id ID) Health {
	m, found := g.members[id]
	if !found {
		return Health{Share: 1}
	}
	probability, _ := m.estimate(now)
	return Health{Probability: probability, Share: m.share(now), Level: m.level}
}

// Totals returns the counts of an instance.
func (g *Group[ID]) Totals(id ID) Totals {
	if m, found := g.members[id]; found {
		return m.totals
	}
	return Totals{}
}

// share returns the share of its usual reads that the instance gets.
func (m *member) share(now model.Instant) float64 {
	switch {
	case m.ejectedUntil == 0:
		return 1
	case now < m.ejectedUntil:
		return 0
	}
	return min(firstShare+shareStep*float64(now.Sub(m.ejectedUntil)/rampStep), 1)
}

// Admission says whether a read may go to an instance.
type Admission uint8

// The admissions.
const (
	Admitted Admission = iota
	Denied
	Probe // the read goes to the ejected instance, to see whether it has recovered
)

// Admit decides on one read that the instance could serve, and counts it. Only some reads may be probes.
func (g *Group[ID]) Admit(now model.Instant, id ID, mayProbe bool) Admission {
	m, found := g.members[id]
	if !found {
		return Admitted
	}
	share := m.share(now)
	if share == 0 {
		m.skipped++
		if m.skipped < probeInterval || !mayProbe {
			return Denied
		}
		m.skipped = 0
		return Probe
	}
	m.credit += share
	if m.credit < 1 {
		return Denied
	}
	m.credit--
	return Admitted
}
