package allowance

import (
	"math"
	"time"

	"redwingspread/internal/model"
)

// Limit is the allowance of a tenant.
type Limit struct {
	Rate  model.Rate
	Burst model.Operations
}

// Tolerance is by how much the operations in a window may exceed a limit: (rate x Window + burst) x (1 + Excess) + Slack.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  model.Operations
}

const (
	// minParts leaves three quarters of the allowance when one owner is dead, more than the usual demand of 1/1.6 of the rate.
	minParts = 4
	maxParts = 10
	maxRate  = 1e9
	// validity is how long a token may be spent after the question for it was sent.
	validity = 250 * time.Millisecond
)

// bounded returns the limit with its numbers in their ranges; what is no number allows nothing.
func (l Limit) bounded() Limit {
	return Limit{Rate: model.Rate(boundedNumber(float64(l.Rate))), Burst: model.Operations(boundedNumber(float64(l.Burst)))}
}

// boundedNumber returns a number between zero and maxRate.
func boundedNumber(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return min(max(x, 0), maxRate)
}

// none reports whether the limit allows nothing.
func (l Limit) none() bool { return l.Rate <= 0 || l.Burst <= 0 }

// capacity returns the tokens that all parts hold together. It is below the burst by what is granted during the validity of a
// token, since tokens granted before a window may be spent in it.
func (l Limit) capacity() float64 {
	burst := float64(l.Burst)
	return max(burst-float64(l.Rate)*validity.Seconds(), burst/2, 1)
}

// total returns the operations that a limit allows in a window.
func (t Tolerance) total(l Limit) float64 {
	return float64(l.Rate)*t.Window.Seconds() + float64(l.Burst)
}

// beyond returns the operations in a window that the rule allows on top of the limit.
func (t Tolerance) beyond(l Limit) float64 { return t.Excess*t.total(l) + float64(t.Slack) }

// parts returns the number of parts of a limit, so that one part granted twice stays within the tolerance.
func (t Tolerance) parts(l Limit) int {
	count := float64(maxParts)
	if beyond := t.beyond(l); beyond > 0 {
		count = min(max(math.Ceil(t.total(l)/beyond), minParts), maxParts)
	}
	return max(int(min(count, l.capacity())), 1)
}

// bonus returns operations a second that all parts together grant beyond the rate: half of what the rule allows beyond the limit, one part
// granted twice (all parts, where that is covered), the first token of each part at a new owner and the tokens granted before a window.
func (t Tolerance) bonus(l Limit) float64 {
	if t.Window <= 0 {
		return 0
	}
	parts, twice := float64(t.parts(l)), t.total(l)
	if !t.coversAll(l) {
		twice /= parts
	}
	early := max(l.capacity()+float64(l.Rate)*validity.Seconds()-float64(l.Burst), 0)
	return max(t.beyond(l)-twice-parts-early, 0) / 2 / t.Window.Seconds()
}

// coversAll reports whether all parts granted twice stay within the tolerance.
func (t Tolerance) coversAll(l Limit) bool { return t.total(l) <= t.beyond(l) }
