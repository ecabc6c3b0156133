package limit

import (
	"sync"

	"redwingspread/internal/model"
)

// Gate bounds the requests in progress of a host by rank: the less urgent meet their limit first.
type Gate struct {
	// Limit is the greatest number of requests in progress, but for those within the floor of their rank.
	Limit int

	mutex sync.Mutex
	used  [model.RankCount]int
	total int
}

// rankShares is the part of the limit, in hundredths, up to which each rank is let in.
var rankShares = [model.RankCount]int{100, 75, 50}

// NewGate returns a gate whose exported fields are to be set before use.
func NewGate() *Gate {
	return &Gate{}
}

// Enter counts a request of the rank in, or returns a refusal; a rank below its floor is always let in.
func (g *Gate) Enter(rank model.Rank, floors [model.RankCount]model.Percent) *model.Refusal {
	place := rank.Index()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	guaranteed := g.used[place] < g.Limit*int(floors[place])/100
	if !guaranteed && g.total >= g.Limit*rankShares[place]/100 {
		return &model.Refusal{
			Code:       model.CodeOverloaded,
			NotRun:     true,
			Message:    "this host has too much work of the rank in progress",
			RetryAfter: retryAfter,
		}
	}
	g.used[place]++
	g.total++
	return nil
}

// Leave counts a request of the rank out that was let in.
func (g *Gate) Leave(rank model.Rank) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.used[rank.Index()]--
	g.total--
}
