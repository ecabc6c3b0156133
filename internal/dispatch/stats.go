package dispatch

import (
	"maps"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Stats tells what a dispatcher does at one moment.
type Stats struct {
	Waiting     [model.Ranks]int   // work in the queue, by rank
	InProgress  model.Slots        // statements that run
	Pinned      model.Connections  // connections held by transactions
	Refused     map[model.Code]int // refusals since the start, by reason
	Connections pool.Counts
	ServiceTime time.Duration // learnt slot time of a statement
}

// Stats returns what the dispatcher does now.
func (d *Dispatcher) Stats() Stats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stats := Stats{
		InProgress:  d.running,
		Pinned:      d.pinned,
		Refused:     maps.Clone(d.refused),
		Connections: d.pool.Counts(),
		ServiceTime: d.queue.ServiceTimes.Mean(d.Now()),
	}
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		stats.Waiting[rank.Index()] = d.Policy.Waiting(rank)
	}
	return stats
}
