package allowance

import (
	"math"
	"time"

	"redwingspread/internal/model"
)

// reserveShare is the share of a part that is kept for the operations of each more urgent rank.
const reserveShare = 0.1

// rounding is the part of a token by which the sum of refills may fall short of a whole one.
const rounding = 1e-6

// size is the size of each part of a tenant.
type size struct {
	rate  float64 // tokens a second
	burst float64 // tokens that a part holds, at least one
}

// reserve returns the tokens of a part that operations of a rank leave to more urgent ones.
func (s size) reserve(rank model.Rank) float64 {
	return math.Floor(s.burst * reserveShare * float64(rank.Index()))
}

// bucket holds the tokens of one part.
type bucket struct {
	tokens float64
	at     model.Instant // when tokens was computed
}

// refill adds the tokens of the time that has passed.
func (b *bucket) refill(now model.Instant, s size) {
	if now <= b.at {
		return
	}
	b.tokens = min(s.burst, b.tokens+s.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take returns up to count whole tokens for a rank and removes them.
func (b *bucket) take(now model.Instant, s size, rank model.Rank, count int) int {
	b.refill(now, s)
	taken := min(int(max(b.tokens-s.reserve(rank)+rounding, 0)), count)
	b.tokens -= float64(taken)
	return taken
}

// next returns when the bucket has a token for a rank.
func (b *bucket) next(s size, rank model.Rank) model.Instant {
	missing := 1 + s.reserve(rank) - b.tokens
	if missing <= 0 {
		return b.at
	}
	return b.at.Add(seconds(missing / s.rate))
}

// seconds returns a number of seconds as a duration between zero and maxNext, rounded up.
func seconds(s float64) time.Duration {
	if !(s < maxNext.Seconds()) {
		return maxNext
	}
	return time.Duration(math.Ceil(max(s, 0) * float64(time.Second)))
}
