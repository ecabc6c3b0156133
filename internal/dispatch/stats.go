package dispatch

import (
	"maps"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Stats tells what a dispatcher does at one moment.
type Stats struct {
	Waiting     [model.RankCount]int // work in the queue, by rank
	InProgress  model.Slots          // statements that run
	Pinned      model.Connections    // connections held by transactions
	Refused     map[model.Code]int   // refusals since the start, by reason
	Connections pool.Counts
	Service     time.Duration // learnt slot time of a statement
}

// Stats returns what the dispatcher does now.
func (d *Dispatcher) Stats() Stats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stats := Stats{
		InProgress:  d.used,
		Pinned:      d.pinned,
		Refused:     maps.Clone(d.refused),
		Connections: d.pool.Counts(),
		Service:     d.queue.Service.Mean(d.Now()),
	}
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		stats.Waiting[rank.Index()] = d.Policy.Waiting(rank)
	}
	return stats
}
