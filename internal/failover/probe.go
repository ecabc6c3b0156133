package failover

import (
	"time"

	"redwingspread/internal/model"
)

const (
	hostsPerFastProbe    = 40              // hosts whose probes at the full fast rate an instance carries beside its work
	maxFastProbeInterval = 2 * time.Second // keeps a change of primary within 7 s in the largest fleet
)

// DueProbes returns the instances to probe now, with the idle interval between two probes of a primary that nothing speaks
// against, none when it is zero: the primary and silent instances, or every instance while no primary is proven.
//
// With more hosts each probes less often, since all hosts doubt the same primary at once and a probe may take a connection.
func (m *Monitor) DueProbes(now time.Time, hosts int, idle time.Duration, members []Member, health map[model.InstanceID]Health) []model.InstanceID {
	var due []model.InstanceID
	for _, member := range members {
		id := member.Instance
		h := health[id]
		interval := idle
		inDoubt := m.state != Leading || h.Overdue || !h.SilentSince.IsZero() || m.SuspectedByPeer(now)
		if inDoubt {
			interval = min(m.Timing.FastProbeInterval*time.Duration(1+hosts/hostsPerFastProbe), max(m.Timing.FastProbeInterval, maxFastProbeInterval))
		}
		if !inDoubt && (idle == 0 || id != m.primary) {
			continue
		}
		if id != m.primary && m.state == Leading && h.SilentSince.IsZero() {
			continue
		}
		if now.Sub(m.lastProbe[id]) < interval || (!inDoubt && now.Sub(h.LastProof) < interval) {
			continue
		}
		m.lastProbe[id] = now
		due = append(due, id)
	}
	return due
}
