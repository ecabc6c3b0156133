package failover

import (
	"time"

	"redwingspread/internal/model"
)

const (
	rushHosts = 40              // hosts whose probes of one primary in doubt an instance carries beside its work
	mostRush  = 2 * time.Second // leaves a change of primary within seven seconds in the largest fleet
)

// Probes returns the instances that are to prove now whether they lead: the believed one, and all of them in doubt.
//
// Hosts of a large fleet probe seldomer, since each probe may take a connection and all doubt the same primary at once.
func (c *Case) Probes(now time.Time, hosts int, members []Member, health map[model.InstanceID]Health) []model.InstanceID {
	var due []model.InstanceID
	for _, member := range members {
		id := member.Instance
		h := health[id]
		every := c.Timing.Probe
		doubt := c.state != Led || h.Stalled || !h.Silent.IsZero() || c.Doubted(now)
		if doubt {
			every = min(c.Timing.Rush*time.Duration(1+hosts/rushHosts), max(c.Timing.Rush, mostRush))
		}
		if id != c.primary && c.state == Led && h.Silent.IsZero() {
			continue
		}
		if now.Sub(c.probed[id]) < every || (!doubt && now.Sub(h.Led) < every) {
			continue
		}
		c.probed[id] = now
		due = append(due, id)
	}
	return due
}
