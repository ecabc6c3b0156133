package limit

import (
	"sync"

	"redwingspread/internal/model"
)

// RankLimiter bounds the requests in progress of a host by rank: the less urgent meet their limit first.
type RankLimiter struct {
	// Limit is the greatest number of requests in progress, but for those within the floor of their rank.
	Limit int

	mutex       sync.Mutex
	active      [model.Ranks]int
	activeTotal int
}

// rankShares is the part of the limit, in hundredths, up to which each rank is let in.
var rankShares = [model.Ranks]int{100, 75, 50}

// NewRankLimiter returns a gate whose exported fields are to be set before use.
func NewRankLimiter() *RankLimiter {
	return &RankLimiter{}
}

// Acquire counts a request of the rank in, or returns a refusal; a rank below its floor is always let in.
func (g *RankLimiter) Acquire(rank model.Rank, floors [model.Ranks]model.Percent) *model.Refusal {
	place := rank.Index()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	guaranteed := g.active[place] < g.Limit*int(floors[place])/100
	if !guaranteed && g.activeTotal >= g.Limit*rankShares[place]/100 {
		return &model.Refusal{
			Code:       model.CodeOverloaded,
			NotRun:     true,
			Message:    "this host has too much work of the rank in progress",
			RetryAfter: retryAfter,
		}
	}
	g.active[place]++
	g.activeTotal++
	return nil
}

// Release counts a request of the rank out that was let in.
func (g *RankLimiter) Release(rank model.Rank) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active[rank.Index()]--
	g.activeTotal--
}
