package front

import (
	"sync"
	"sync/atomic"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
)

// leaving is the limit of what leaves the data centre of one database's reads. It is safe for concurrent use.
type leaving struct {
	mutex sync.Mutex
	spill placement.Spill
}

// edgeTo returns the edge between the host and a data centre.
func (h *Host) edgeTo(centre model.DataCentreID) placement.Edge {
	own := h.Settings.DataCentre
	return placement.EdgeTo(centre == own, h.regions[centre] == h.regions[own])
}

// edgeCosts returns the costs of crossings. They count only where some region has several data centres: with one for each region, the
// instances of the others are the only ones to share the load with.
func (h *Host) edgeCosts() placement.Costs {
	if !h.sharedRegion {
		return placement.Costs{}
	}
	return placement.Costs{Centre: h.Settings.CentreCost, Region: h.Settings.RegionCost}
}

// hasSharedRegion reports whether some region has several data centres.
func hasSharedRegion(regions map[model.DataCentreID]model.RegionID) bool {
	seen := make(map[model.RegionID]bool, len(regions))
	for _, region := range regions {
		if seen[region] {
			return true
		}
		seen[region] = true
	}
	return false
}

// logLeaving logs a choice that has turned the share of a database's reads that may leave.
func (h *Host) logLeaving(database model.DatabaseID, choice placement.Choice, limit *leaving) {
	if choice.Spill != placement.ChangeNone {
		event.LeavingChanged(h.Logger, database, choice.Spill.String(), limit.share())
	}
}

// choose chooses among the candidates for a read. With a nil limit any read may leave and none is counted.
func (l *leaving) choose(candidates []placement.Candidate, read *placement.Read, costs placement.Costs) placement.Choice {
	if l == nil {
		return placement.Choose(candidates, read, costs, nil)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return placement.Choose(candidates, read, costs, &l.spill)
}

// share returns the share of reads that may leave.
func (l *leaving) share() model.Percent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.spill.Share()
}

// placements counts statements by where they went and why.
type placements [placement.EdgeCount][placement.ReasonCount]atomic.Int64

// count counts a statement.
func (p *placements) count(choice placement.Choice) { p[choice.Edge][choice.Reason].Add(1) }

// each calls the function with each edge and reason and its count.
func (p *placements) each(do func(placement.Edge, placement.Reason, int64)) {
	for edge := range p {
		for reason := range p[edge] {
			do(placement.Edge(edge), placement.Reason(reason), p[edge][reason].Load())
		}
	}
}
