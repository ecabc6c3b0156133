package owner

import (
	"cmp"
	"slices"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/model"
)

// InstanceStats holds the statistics of one instance's dispatcher.
type InstanceStats struct {
	Database model.DatabaseID
	Instance model.InstanceID
	dispatch.Stats
}

// Stats returns the statistics of each running dispatcher, in order of the instance ids.
func (s *Instances) Stats() []InstanceStats {
	var list []InstanceStats
	for id, current := range s.list() {
		list = append(list, InstanceStats{Database: current.database, Instance: id, Stats: current.dispatcher.Stats()})
	}
	slices.SortFunc(list, func(a, b InstanceStats) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
