package limit

import (
	"sync"

	"redwingspread/internal/model"
)

// RankLimiter bounds the requests in progress of a host by rank; less urgent ranks are refused first.
type RankLimiter struct {
	// Limit is the greatest number of requests in progress; requests within the floor of their rank are admitted beyond it.
	Limit int

	mutex       sync.Mutex
	active      [model.RankCount]int
	activeTotal int
}

// rankLimitPercents is the percentage of the limit up to which each rank is admitted, by rank index.
var rankLimitPercents = [model.RankCount]int{100, 75, 50}

// NewRankLimiter returns a limiter; its exported fields have to be set before use.
func NewRankLimiter() *RankLimiter {
	return &RankLimiter{}
}

// Acquire admits a request of the rank or returns a refusal; a rank below its floor, in percent of the limit, is always
// admitted.
func (l *RankLimiter) Acquire(rank model.Rank, floors [model.RankCount]model.Percent) *model.Refusal {
	index := rank.Index()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	guaranteed := l.active[index] < l.Limit*int(floors[index])/100
	if !guaranteed && l.activeTotal >= l.Limit*rankLimitPercents[index]/100 {
		return &model.Refusal{
			Code:       model.CodeOverloaded,
			NotRun:     true,
			Message:    "this host has too much work of the rank in progress",
			RetryAfter: retryAfter,
		}
	}
	l.active[index]++
	l.activeTotal++
	return nil
}

// Release ends an admitted request of the rank.
func (l *RankLimiter) Release(rank model.Rank) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.active[rank.Index()]--
	l.activeTotal--
}
