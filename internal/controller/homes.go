package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/directory"
	"redwingspread/internal/holder"
	"redwingspread/internal/model"
)

// turnsDivisor divides the shared connections of a crowded instance to give the part that its home hosts leave to the others.
const turnsDivisor = 4

// homes holds, for each crowded instance, the hosts that keep connections to it: those to which no instance of the database is
// nearer. The other hosts open a connection when they need one, and take turns.
type homes struct {
	directory  *directory.Directory
	membership int                                        // of the hosts from which the rest was worked out
	byInstance map[model.InstanceID]map[model.HostID]bool // to which the instance is the nearest
	kept       map[model.InstanceID]map[model.HostID]bool
	holders    map[model.InstanceID]*holder.Set
}

// holderCount is the number of hosts that keep connections to a crowded instance where the others pass requests on to them: few, so
// that each has a part of the slots worth queueing for, and enough that the loss of one leaves the others with little more.
const holderCount = 4

// holdersOf returns the home hosts of a crowded instance that take requests for it, or nil if there is none but this host.
func (c *Controller) holdersOf(id model.InstanceID, homes map[model.HostID]bool) *holder.Set {
	if known, found := c.homes.holders[id]; found {
		return known
	}
	var hosts []holder.Host
	for home := range homes {
		if home == c.Self.ID {
			hosts = append(hosts, holder.Host{ID: home})
		} else if known, found := c.hosts[home]; found && known.Relay != "" {
			hosts = append(hosts, holder.Host{ID: home, Address: known.Relay})
		}
	}
	var holders *holder.Set
	if len(hosts) > 1 || (len(hosts) == 1 && !homes[c.Self.ID]) {
		holders = holder.New(id, c.Self.ID, hosts)
	}
	c.homes.holders[id] = holders
	return holders
}

// homesOf returns the home hosts of an instance, at most three quarters of the limit.
func (c *Controller) homesOf(id model.InstanceID, limit model.Connections) map[model.HostID]bool {
	d := c.directory.Directory()
	if c.homes.directory != d || c.homes.membership != c.membership {
		c.homes = homes{directory: d, membership: c.membership, byInstance: c.assignHomes(d), holders: make(map[model.InstanceID]*holder.Set), kept: make(map[model.InstanceID]map[model.HostID]bool)}
	}
	if kept, found := c.homes.kept[id]; found {
		return kept
	}
	kept := c.keepHomes(id, limit)
	c.homes.kept[id] = kept
	return kept
}

// keepHomes returns the home hosts of an instance among those to which it is the nearest one.
func (c *Controller) keepHomes(id model.InstanceID, limit model.Connections) map[model.HostID]bool {
	all := c.homes.byInstance[id]
	most := int(limit - limit/turnsDivisor)
	if c.Self.Relay != "" {
		most = holderCount
	}
	if len(all) <= most {
		return all
	}
	centre := c.directory.Directory().Instances[id].DataCentre
	ids := make([]model.HostID, 0, len(all))
	for host := range all {
		ids = append(ids, host)
	}
	slices.SortFunc(ids, func(a, b model.HostID) int {
		if near := c.centreOf(a) == centre; c.Self.Relay != "" && near != (c.centreOf(b) == centre) {
			return map[bool]int{true: -1, false: 1}[near] // the way through such a host is no longer than the direct one
		}
		return cmp.Compare(affinity(id, a), affinity(id, b))
	})
	kept := make(map[model.HostID]bool, most)
	for _, host := range ids[:most] {
		kept[host] = true
	}
	return kept
}

// assignHomes returns the hosts to which each instance is the nearest of its database.
func (c *Controller) assignHomes(d *directory.Directory) map[model.InstanceID]map[model.HostID]bool {
	byDatabase := make(map[model.DatabaseID][]directory.Instance)
	for _, instance := range d.Instances {
		byDatabase[instance.Database] = append(byDatabase[instance.Database], instance)
	}
	assigned := make(map[model.InstanceID]map[model.HostID]bool, len(d.Instances))
	assign := func(host Host) {
		for _, instances := range byDatabase {
			id, found := c.nearest(host, instances)
			if !found {
				continue
			}
			if assigned[id] == nil {
				assigned[id] = make(map[model.HostID]bool)
			}
			assigned[id][host.ID] = true
		}
	}
	assign(c.Self)
	for _, known := range c.hosts {
		if c.Self.Relay == "" || (known.Relay != "" && !known.dead && !known.heartbeat.Leaving) {
			assign(known.Host)
		}
	}
	return assigned
}

// centreOf returns the data centre of a host.
func (c *Controller) centreOf(id model.HostID) model.DataCentreID {
	if id == c.Self.ID {
		return c.Self.DataCentre
	}
	return c.hosts[id].DataCentre
}

// nearest returns the instance in the host's data centre or else in its region; among several it spreads the hosts.
func (c *Controller) nearest(host Host, instances []directory.Instance) (id model.InstanceID, found bool) {
	best, lowest := 0, uint64(0)
	for _, instance := range instances {
		distance := 1
		switch {
		case instance.Leaving || host.DataCentre == "" || c.Regions[host.DataCentre] != c.Regions[instance.DataCentre]:
			continue
		case instance.DataCentre != host.DataCentre:
			distance = 2
		}
		score := affinity(instance.ID, host.ID)
		if !found || distance < best || (distance == best && score < lowest) {
			id, best, lowest, found = instance.ID, distance, score, true
		}
	}
	return id, found
}

// affinity returns the rendezvous hashing score of a host for an instance.
func affinity(instance model.InstanceID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(instance) + "/" + string(host))
}
