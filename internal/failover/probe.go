package failover

import (
	"time"

	"redwingspread/internal/model"
)

const (
	hostsPerFastProbe    = 40              // hosts whose probes of one primary in doubt an instance carries beside its work
	maxFastProbeInterval = 2 * time.Second // leaves a change of primary within seven seconds in the largest fleet
)

// DueProbes returns the instances that are to prove now whether they lead: the believed one, and all of them in doubt.
//
// Hosts of a large fleet probe seldomer, since each probe may take a connection and all doubt the same primary at once.
func (c *Monitor) DueProbes(now time.Time, hosts int, members []Member, health map[model.InstanceID]Health) []model.InstanceID {
	var due []model.InstanceID
	for _, member := range members {
		id := member.Instance
		h := health[id]
		every := c.Timing.ProbeInterval
		doubt := c.state != Leading || h.Overdue || !h.SilentSince.IsZero() || c.SuspectedByPeer(now)
		if doubt {
			every = min(c.Timing.FastProbeInterval*time.Duration(1+hosts/hostsPerFastProbe), max(c.Timing.FastProbeInterval, maxFastProbeInterval))
		}
		if id != c.primary && c.state == Leading && h.SilentSince.IsZero() {
			continue
		}
		if now.Sub(c.lastProbe[id]) < every || (!doubt && now.Sub(h.LastProof) < every) {
			continue
		}
		c.lastProbe[id] = now
		due = append(due, id)
	}
	return due
}
