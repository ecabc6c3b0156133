package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/directory"
	"redwingspread/internal/model"
)

// turnsDivisor divides the shared connections of a crowded instance to give the part that its home hosts leave to the others.
const turnsDivisor = 4

// homes holds, for each crowded instance, the hosts that keep connections to it: those to which no instance of the database is
// nearer. The other hosts open a connection when they need one, and take turns.
type homes struct {
	directory  *directory.Directory
	membership int // of the hosts from which the rest was worked out
	byInstance map[model.InstanceID]map[model.HostID]bool
}

// homesOf returns the home hosts of an instance, at most three quarters of the limit.
func (c *Controller) homesOf(id model.InstanceID, limit model.Connections) map[model.HostID]bool {
	d := c.directory.Directory()
	if c.homes.directory != d || c.homes.membership != c.membership {
		c.homes = homes{directory: d, membership: c.membership, byInstance: c.assignHomes(d)}
	}
	all := c.homes.byInstance[id]
	most := int(limit - limit/turnsDivisor)
	if len(all) <= most {
		return all
	}
	ids := make([]model.HostID, 0, len(all))
	for host := range all {
		ids = append(ids, host)
	}
	slices.SortFunc(ids, func(a, b model.HostID) int { return cmp.Compare(affinity(id, a), affinity(id, b)) })
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
		assign(known.Host)
	}
	return assigned
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
