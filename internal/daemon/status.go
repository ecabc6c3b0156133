package daemon

import (
	"maps"
	"slices"

	"redwingspread/internal/model"
	"redwingspread/internal/operator"
)

// queues returns the number of waiting requests on this host, by instance and rank.
func (d *Daemon) queues() []operator.Queue {
	var list []operator.Queue
	for _, stats := range d.instances.Stats() {
		for index, waiting := range stats.Waiting {
			list = append(list, operator.Queue{
				Database: stats.Database, Instance: stats.Instance, Rank: model.Rank(index + 1), Waiting: waiting,
			})
		}
	}
	return list
}

// refusals returns the counts of refused requests, by instance and refusal code.
func (d *Daemon) refusals() []operator.RefusalCount {
	var list []operator.RefusalCount
	for _, stats := range d.instances.Stats() {
		for _, code := range slices.Sorted(maps.Keys(stats.Refused)) {
			list = append(list, operator.RefusalCount{
				Database: stats.Database, Instance: stats.Instance, Code: code, Count: int64(stats.Refused[code]),
			})
		}
	}
	return list
}
