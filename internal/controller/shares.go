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
	// crowdedDivisor divides an instance's connections to give the number of hosts beyond which not every host keeps one. Were all
	// to keep one, a return of all hosts would find half of the connections counted for their previous incarnations.
	crowdedDivisor = 2
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
	c.crowded = c.anyCrowded(len(sharers) + 1)
	for id, instance := range d.Instances {
		limit, most := sharedConnections(d.Databases[instance.Database].Connections)
		if limit == 0 {
			continue
		}
		if !c.hostsRead {
			shares[id] = assumedShare(limit, instance.Slots)
			continue
		}
		if hosts := len(sharers) + 1; c.crowds(id, hosts, limit, most) {
			share := c.crowdedShare(now, id, instance.Slots, limit, hosts)
			share.Probes = c.keepsProbe(now, instance.Database, id)
			shares[id] = share
			continue
		}
		own := claim{host: c.Self.ID, load: max(c.loads[id], minLoad)}
		others := make([]claim, 0, len(sharers))
		for _, other := range sharers {
			load := own.load // a host that hasn't reported its loads counts as much as this one
			if other.heartbeat.Loads != nil {
				load = max(other.heartbeat.Loads[id], minLoad)
			}
			others = append(others, claim{host: other.ID, load: load})
		}
		shares[id] = shareOf(id, limit, instance.Slots, own, others)
	}
	return shares
}

// holdsByTenant reports whether few hosts keep the connections of each tenant to an instance, since a host's part of them is less than one
// for each tenant.
func (c *Controller) holdsByTenant(hosts int, limit model.Connections) bool {
	d := c.directory.Directory()
	return d.Keyed && c.Self.Relay != "" && hosts > holderCount && len(d.Tenants)*hosts > int(limit)
}

// sharedConnections returns the connections to an instance that hosts share, and the number of hosts beyond which it is crowded if
// some hosts are near it.
func sharedConnections(connections model.Connections) (limit model.Connections, most int) {
	if connections == 0 {
		return 0, 0
	}
	return connections - max(connections/spareDivisor, 1), int(connections / crowdedDivisor)
}

// anyCrowded reports whether the hosts are more than the connections of some instance that they share, or few of them hold those of tenants.
// Scouts then probe the primaries for the other hosts.
func (c *Controller) anyCrowded(hosts int) bool {
	d := c.directory.Directory()
	for _, instance := range d.Instances {
		limit, _ := sharedConnections(d.Databases[instance.Database].Connections)
		if limit != 0 && (hosts > int(limit) || c.holdsByTenant(hosts, limit)) {
			return true
		}
	}
	return false
}

// crowds reports whether the hosts are too many for each of them to keep a connection to an instance.
func (c *Controller) crowds(id model.InstanceID, hosts int, limit model.Connections, most int) bool {
	return hosts > int(limit) || (hosts > most || c.holdsByTenant(hosts, limit)) && len(c.homesOf(id, limit)) > 0
}

// observersOf returns the hosts that keep connections to an instance of the database, or nil where each host does.
func (c *Controller) observersOf(now time.Time, database model.DatabaseID, id model.InstanceID) map[model.HostID]bool {
	d := c.directory.Directory()
	limit, most := sharedConnections(d.Databases[database].Connections)
	if limit == 0 || !c.hostsRead || !c.crowds(id, len(c.sharers(now))+1, limit, most) {
		return nil
	}
	if homes := c.homesOf(id, limit); homes != nil {
		return homes
	}
	return map[model.HostID]bool{}
}

// crowdedShare returns this host's share of an instance that has too few connections for all hosts to keep one: its home hosts keep
// connections, the others open one when they need it.
//
// A host that has just started keeps none: where all hosts lost power, the instance still counts what they kept before.
func (c *Controller) crowdedShare(now time.Time, id model.InstanceID, slots model.Slots, limit model.Connections, hosts int) Share {
	homes := c.homesOf(id, limit)
	if !homes[c.Self.ID] {
		return Share{Slots: max(statementsPerSlot*slots/model.Slots(hosts), 1), Connections: 1, Scarce: true, Holders: c.holdersOf(id, homes)}
	}
	own := claim{host: c.Self.ID, load: max(c.loads[id], minLoad)}
	others := make([]claim, 0, len(homes))
	for other := range homes {
		if known, found := c.hosts[other]; found {
			others = append(others, claim{host: other, load: max(known.heartbeat.Loads[id], minLoad)})
		}
	}
	share := shareOf(id, limit-limit/turnsDivisor, slots, own, others)
	share.Scarce = now.Sub(c.started) < c.Timing.Linger
	if c.directory.Directory().Keyed {
		share.Holders = c.holdersOf(id, homes)
	}
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

// claim is the load by which a host gets its share of an instance.
type claim struct {
	host model.HostID
	load model.Load
}

// shareOf returns a host's share of an instance, given its own claim and those of the other hosts.
//
// Each host gets one connection and a part of the rest in proportion to its load. What is left after rounding down goes to the
// hosts that lost most by it, so that the shares together stay within the limit. With more hosts than connections, each host
// still gets one.
func shareOf(id model.InstanceID, limit model.Connections, slots model.Slots, own claim, others []claim) Share {
	hosts := len(others) + 1
	all := own.load
	for _, other := range others {
		all += other.load
	}
	rest := max(int(limit)-hosts, 0)
	connections := 1 + portion(id, rest, all, own, others)
	active := (statementsPerSlot*int(slots)*int(own.load) + int(all) - 1) / int(all)
	return Share{
		Slots:       model.Slots(max(active, 1)),
		Connections: model.Connections(connections),
		Scarce:      hosts > int(limit),
	}
}

// portion returns the host's part of the rest by the largest remainder method; equal remainders are ranked differently for each
// instance.
func portion(id model.InstanceID, rest int, all model.Load, own claim, others []claim) int {
	divide := func(load model.Load) (whole, remainder int) {
		return rest * int(load) / int(all), rest * int(load) % int(all)
	}
	whole, remainder := divide(own.load)
	rank := affinity(id, own.host)
	left, ahead := rest-whole, 0
	for _, other := range others {
		otherWhole, otherRemainder := divide(other.load)
		left -= otherWhole
		if otherRemainder > remainder || otherRemainder == remainder && affinity(id, other.host) < rank {
			ahead++
		}
	}
	if ahead < left {
		whole++
	}
	return whole
}

// assumedShare returns a host's share of an instance before it knows the other hosts.
func assumedShare(limit model.Connections, slots model.Slots) Share {
	return Share{
		Slots:       max((statementsPerSlot*slots+assumedHosts-1)/assumedHosts, 1),
		Connections: max((limit+assumedHosts/2)/assumedHosts, 1),
		Scarce:      limit < assumedHosts,
	}
}
