package fleet

import (
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// liveHosts caches the hosts that may own databases, by location, for one epoch of the members.
type liveHosts struct {
	built        bool // whether the lists have been filled
	epoch        int
	all          []model.Host
	byDataCentre map[model.DataCentreID][]model.Host
	byRegion     map[model.RegionID][]model.Host
}

// refresh rebuilds the cache after a change of the members.
func (l *liveHosts) refresh(members *member.Table) {
	if l.built && l.epoch == members.Epoch() {
		return
	}
	*l = liveHosts{
		built:        true,
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

// nearest returns the hosts in the primary's data centre, else those in its region, else all.
func (l *liveHosts) nearest(primary model.Instance) []model.Host {
	if hosts := l.byDataCentre[primary.DataCentre]; len(hosts) > 0 {
		return hosts
	}
	if hosts := l.byRegion[primary.Region]; len(hosts) > 0 {
		return hosts
	}
	return l.all
}
