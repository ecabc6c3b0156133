package governor

import (
	"errors"
	"slices"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/quota"
)

// sight shortens the name of another package's type.
type sight = failover.Sight

// errSilent is why a host counts as lost.
var errSilent = errors.New("no beat of late")

const (
	// spareShare is the part of an instance's connections, one in this many, that is shared out to no host: room for hosts
	// that start anew while the connections of their former lives still count, and for shares that overlap for a moment.
	spareShare = 4
	// leastWanted is the number of connections that each host may have before any demand counts.
	leastWanted = 1
	// slotDepth is how many statements may be on their way to each slot, so that none idles during a round trip.
	slotDepth = 3
	// unknownHosts is how many hosts share an instance as long as the others' rows have not been read.
	unknownHosts = 8
)

// shares returns this host's part of each instance.
//
// It answers hosts of uneven traffic before few connections: those wanted are shared out one by one to the host that has
// the fewest, and what nobody wants is shared evenly. Hosts compute it from the same beats; where these differ for a
// moment, the instance refuses what is too much.
func (g *Governor) shares(now time.Time) map[model.InstanceID]Share {
	d := g.book.Directory()
	shares := make(map[model.InstanceID]Share, len(d.Instances))
	sharers := g.sharers(now)
	for id, instance := range d.Instances {
		limit := d.Databases[instance.Database].Connections
		if limit == 0 {
			continue
		}
		wanted, self := g.wanted(id, sharers)
		shares[id] = share(limit-max(limit/spareShare, 1), instance.Slots, wanted, self, g.enrolled)
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
	slices.SortFunc(sharers, func(a, b *host) int { return compare(a.ID, b.ID) })
	return sharers
}

// wanted returns the demand of all hosts in order of their names, the same order on each of them, and this host's place.
func (g *Governor) wanted(id model.InstanceID, sharers []*host) (wanted []model.Slots, self int) {
	self = -1
	for _, other := range sharers {
		if self < 0 && other.ID > g.Self.ID {
			self = len(wanted)
			wanted = append(wanted, model.Slots(max(g.demand[id], leastWanted)))
		}
		wanted = append(wanted, model.Slots(max(other.beat.Wants[id], leastWanted)))
	}
	if self < 0 {
		self = len(wanted)
		wanted = append(wanted, model.Slots(max(g.demand[id], leastWanted)))
	}
	return wanted, self
}

// share returns one host's part of an instance.
func share(limit model.Connections, slots model.Slots, wanted []model.Slots, self int, known bool) Share {
	parts := quota.Demand(model.Slots(limit), wanted)
	given := model.Slots(0)
	for _, part := range parts {
		given += part
	}
	rest := (model.Slots(limit) - given) / model.Slots(len(wanted))
	connections := max(parts[self]+rest, 1)
	if !known {
		connections = max(model.Slots(limit)/unknownHosts, 1)
	}
	active := (slots*slotDepth*connections + model.Slots(limit) - 1) / max(model.Slots(limit), 1)
	return Share{Slots: max(active, 1), Connections: model.Connections(connections)}
}
