package controller

import (
	"errors"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// sight shortens the name of another package's type.
type sight = failover.Sight

// errNoHeartbeat is why a host counts as lost.
var errNoHeartbeat = errors.New("no beat of late")

const (
	// spareFraction is the part of an instance's connections, one in this many, that is shared out to no host: room for hosts
	// that start anew while the connections of their former lives still count, and for shares that overlap for a moment.
	spareFraction = 4
	// minLoad is the load that counts for a host which has less, so that it may begin at once.
	minLoad = 3 * model.TenthsOfConnection / 10
	// statementsPerSlot is how many statements each slot may have: one that runs and one that waits.
	statementsPerSlot = 2
	// assumedHosts is how many hosts share an instance as long as the others' rows have not been read.
	assumedHosts = 8
)

// shares returns this host's part of each instance.
//
// It answers hosts of uneven traffic before few connections and slots: each host has a part in proportion to its load.
// Hosts compute it from the same beats; where these differ for a moment, the instance refuses what is too much.
func (g *Controller) shares(now time.Time) map[model.InstanceID]Share {
	d := g.directory.Directory()
	shares := make(map[model.InstanceID]Share, len(d.Instances))
	sharers := g.sharers(now)
	for id, instance := range d.Instances {
		limit := d.Databases[instance.Database].Connections
		if limit == 0 {
			continue
		}
		limit -= max(limit/spareFraction, 1)
		if !g.hostsRead {
			shares[id] = shareOf(limit, instance.Slots, 1, assumedHosts, assumedHosts)
			continue
		}
		own := max(g.loads[id], minLoad)
		all := own
		for _, other := range sharers {
			if other.heartbeat.Loads == nil {
				all += own // as long as a host has told nothing, it counts as much as this one
				continue
			}
			all += max(other.heartbeat.Loads[id], minLoad)
		}
		shares[id] = shareOf(limit, instance.Slots, own, all, len(sharers)+1)
	}
	return shares
}

// sharers returns the other hosts whose connections count: the live ones, and those gone for a moment only.
func (g *Controller) sharers(now time.Time) (sharers []*host) {
	silence := g.hostTimeout()
	for _, known := range g.hosts {
		if now.Sub(known.lastHeard) <= silence+g.Timing.Linger {
			sharers = append(sharers, known)
		}
	}
	return sharers
}

// shareOf returns the part of an instance that follows from a host's part of the load.
//
// One connection goes to each host, and the rest by load; where hosts are more than connections, each may still have one.
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
