package governor

import (
	"errors"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// sight shortens the name of another package's type.
type sight = failover.Observation

// errSilent is why a host counts as lost.
var errSilent = errors.New("no beat of late")

const (
	// spareShare is the part of an instance's connections, one in this many, that is shared out to no host: room for hosts
	// that start anew while the connections of their former lives still count, and for shares that overlap for a moment.
	spareShare = 4
	// leastLoad is the load that counts for a host which has less, so that it may begin at once.
	leastLoad = 3 * model.TenthsOfConnection / 10
	// slotDepth is how many statements each slot may have: one that runs and one that waits.
	slotDepth = 2
	// unknownHosts is how many hosts share an instance as long as the others' rows have not been read.
	unknownHosts = 8
)

// shares returns this host's part of each instance.
//
// It answers hosts of uneven traffic before few connections and slots: each host has a part in proportion to its load.
// Hosts compute it from the same beats; where these differ for a moment, the instance refuses what is too much.
func (g *Governor) shares(now time.Time) map[model.InstanceID]Share {
	d := g.book.Directory()
	shares := make(map[model.InstanceID]Share, len(d.Instances))
	sharers := g.sharers(now)
	for id, instance := range d.Instances {
		limit := d.Databases[instance.Database].Connections
		if limit == 0 {
			continue
		}
		limit -= max(limit/spareShare, 1)
		if !g.enrolled {
			shares[id] = share(limit, instance.Slots, 1, unknownHosts, unknownHosts)
			continue
		}
		own := max(g.loads[id], leastLoad)
		all := own
		for _, other := range sharers {
			if other.beat.Loads == nil {
				all += own // as long as a host has told nothing, it counts as much as this one
				continue
			}
			all += max(other.beat.Loads[id], leastLoad)
		}
		shares[id] = share(limit, instance.Slots, own, all, len(sharers)+1)
	}
	return shares
}

// sharers returns the other hosts whose connections count: the live ones, and those gone for a moment only.
func (g *Governor) sharers(now time.Time) (sharers []*host) {
	silence := g.silence()
	for _, known := range g.hosts {
		if now.Sub(known.heard) <= silence+g.Timing.Linger {
			sharers = append(sharers, known)
		}
	}
	return sharers
}

// share returns the part of an instance that follows from a host's part of the load.
//
// One connection goes to each host, and the rest by load; where hosts are more than connections, each may still have one.
func share(limit model.Connections, slots model.Slots, own, all model.Load, hosts int) Share {
	rest := max(int(limit)-hosts, 0)
	connections := 1 + (rest*int(own)+int(all)/2)/int(all)
	active := (slotDepth*int(slots)*int(own) + int(all) - 1) / int(all)
	return Share{
		Slots:       model.Slots(max(active, 1)),
		Connections: model.Connections(connections),
		Scarce:      hosts > int(limit),
	}
}
