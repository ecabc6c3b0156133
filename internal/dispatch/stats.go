package dispatch

import (
	"maps"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Stats is a snapshot of the state of a dispatcher.
type Stats struct {
	Waiting     [model.RankCount]int // number of waiting tasks by rank
	InProgress  model.Slots          // statements that run
	Pinned      model.Connections    // connections that are pinned by a transaction or reserved for one
	Refused     map[model.Code]int   // number of refusals since the start by reason
	Connections pool.Counts
	ServiceTime time.Duration // mean slot time of a statement
}

// Stats returns the current state.
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
