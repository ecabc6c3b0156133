package fleet

import (
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// liveHosts holds the hosts that may own databases by their place, for one epoch of the members.
type liveHosts struct {
	known        bool
	epoch        int
	all          []model.Host
	byDataCentre map[model.DataCentreID][]model.Host
	byRegion     map[model.RegionID][]model.Host
}

// refresh reads the live hosts anew when the members have changed.
func (l *liveHosts) refresh(members *member.Table) {
	if l.known && l.epoch == members.Epoch() {
		return
	}
	*l = liveHosts{
		known:        true,
		epoch:        members.Epoch(),
		all:          members.Live(),
		byDataCentre: make(map[model.DataCentreID][]model.Host),
		byRegion:     make(map[model.RegionID][]model.Host),
	}
	for _, host := range l.all {
		l.byDataCentre[host.DataCentre] = append(l.byDataCentre[host.DataCentre], host)
		l.byRegion[host.Region] = append(l.byRegion[host.Region], host)
	}
}

// nearest returns the hosts of the nearest tier that has any.
func (l *liveHosts) nearest(primary model.Instance) []model.Host {
	if hosts := l.byDataCentre[primary.DataCentre]; len(hosts) > 0 {
		return hosts
	}
	if hosts := l.byRegion[primary.Region]; len(hosts) > 0 {
		return hosts
	}
	return l.all
}
