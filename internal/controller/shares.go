package controller

import (
	"errors"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// observation is a short name for failover.Observation.
type observation = failover.Observation

// errNoHeartbeat is the logged reason why a host counts as dead.
var errNoHeartbeat = errors.New("no recent heartbeat")

const (
	// spareDivisor divides an instance's connections to give the part that is kept in reserve: for hosts that restart while the
	// connections of their previous incarnation still count, and for shares that overlap for a moment.
	spareDivisor = 4
	// minLoad is the least load assumed for any host, so that an idle host can start work at once.
	minLoad = 3 * model.TenthsOfConnection / 10
	// statementsPerSlot is the number of statements sent for each slot: one that runs and one that waits.
	statementsPerSlot = 2
	// assumedHosts is the assumed number of hosts until the hosts' rows have been read.
	assumedHosts = 8
)

// shares returns this host's share of each instance.
//
// Connections and slots are scarce and traffic is uneven, so each host gets a share in proportion to its load. All hosts
// compute the shares from the same heartbeats; where these differ for a moment, the instance refuses the excess.
func (c *Controller) shares(now time.Time) map[model.InstanceID]Share {
	d := c.directory.Directory()
	shares := make(map[model.InstanceID]Share, len(d.Instances))
	sharers := c.sharers(now)
	c.crowded = false
	for id, instance := range d.Instances {
		limit := d.Databases[instance.Database].Connections
		if limit == 0 {
			continue
		}
		limit -= max(limit/spareDivisor, 1)
		c.crowded = c.crowded || len(sharers)+1 > int(limit)
		if !c.hostsRead {
			shares[id] = shareOf(limit, instance.Slots, 1, assumedHosts, assumedHosts)
			continue
		}
		if len(sharers)+1 > int(limit) {
			shares[id] = c.crowdedShare(now, id, instance.Slots, limit, len(sharers)+1)
			continue
		}
		own := max(c.loads[id], minLoad)
		all := own
		for _, other := range sharers {
			if other.heartbeat.Loads == nil {
				all += own // a host that hasn't reported its loads counts as much as this one
				continue
			}
			all += max(other.heartbeat.Loads[id], minLoad)
		}
		shares[id] = shareOf(limit, instance.Slots, own, all, len(sharers)+1)
	}
	return shares
}

// crowdedShare returns this host's share of an instance that has fewer connections than there are hosts: its home hosts keep
// connections, the others open one when they need it.
//
// A host that has just started keeps none: where all hosts lost power, the instance still counts what they kept before.
func (c *Controller) crowdedShare(now time.Time, id model.InstanceID, slots model.Slots, limit model.Connections, hosts int) Share {
	homes := c.homesOf(id, limit)
	if !homes[c.Self.ID] {
		return Share{Slots: max(statementsPerSlot*slots/model.Slots(hosts), 1), Connections: 1, Scarce: true}
	}
	own := max(c.loads[id], minLoad)
	all := own
	for other := range homes {
		if known, found := c.hosts[other]; found {
			all += max(known.heartbeat.Loads[id], minLoad)
		}
	}
	share := shareOf(limit-limit/turnsDivisor, slots, own, all, len(homes))
	share.Scarce = now.Sub(c.started) < c.Timing.Linger
	return share
}

// sharers returns the other hosts whose connections still count at the instances: live ones, and those that timed out
// less than Linger ago.
func (c *Controller) sharers(now time.Time) (sharers []*host) {
	timeout := c.hostTimeout()
	for _, known := range c.hosts {
		if now.Sub(known.lastHeard) <= timeout+c.Timing.Linger {
			sharers = append(sharers, known)
		}
	}
	return sharers
}

// shareOf returns a host's share of an instance, given its own load and the load of all hosts.
//
// Each host gets one connection and a part of the rest in proportion to its load. With more hosts than connections, each
// host still gets one.
func shareOf(limit model.Connections, slots model.Slots, own, all model.Load, hosts int) Share {
	rest := max(int(limit)-hosts, 0)
	connections := 1 + (rest*int(own)+int(all)/2)/int(all)
	active := (statementsPerSlot*int(slots)*int(own) + int(all) - 1) / int(all)
	return Share{
		Slots:       model.Slots(max(active, 1)),
		Connections: model.Connections(connections),
		Scarce:      hosts > int(limit),
	}
}
