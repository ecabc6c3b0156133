package owner

import (
	"cmp"
	"slices"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/model"
)

// InstanceStats is what the dispatcher of one instance does.
type InstanceStats struct {
	Database model.DatabaseID
	Instance model.InstanceID
	dispatch.Stats
}

// Stats returns what each running dispatcher does, in the order of the instances.
func (s *Instances) Stats() []InstanceStats {
	var list []InstanceStats
	for id, current := range s.list() {
		list = append(list, InstanceStats{Database: current.database, Instance: id, Stats: current.dispatcher.Stats()})
	}
	slices.SortFunc(list, func(a, b InstanceStats) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
