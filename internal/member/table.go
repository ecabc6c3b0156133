package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// updatesPerHeartbeat is the maximum number of updates in one heartbeat.
const updatesPerHeartbeat = 8

// fullMeshMax is the maximum size of a fleet in which every host sends heartbeats to every other.
const fullMeshMax = 6

// ringNeighbours is the number of successors on the ring that a host of a large fleet sends heartbeats to.
const ringNeighbours = 2

// removeAfterAbsences is the number of consecutive lists without a silent host after which it is removed.
const removeAfterAbsences = 3

// Table holds one host's knowledge of all hosts; it is not safe for concurrent use.
type Table struct {
	// Self is this host.
	Self model.Host
	// Incarnation distinguishes this run of the host from earlier ones.
	Incarnation model.Incarnation
	// Timing holds the intervals and timeouts.
	Timing Timing

	hosts         map[model.HostID]*host
	ring          []model.HostID                    // ids of the other hosts, sorted
	updates       GossipQueue[model.HostID, Update] // updates still to be sent
	sequence      model.Sequence                    // newest heartbeat of this host
	leaving       bool                              // whether this host is leaving
	epoch         int                               // number of changes in the state, incarnation or set of hosts
	round         int                               // number of heartbeat rounds
	nextHeartbeat time.Time                         // time at which the next round is due
	changes       []Update                          // state changes not yet taken
}

// host is what the table knows about one other host.
type host struct {
	model.Host
	incarnation   model.Incarnation
	sequence      model.Sequence // newest known heartbeat
	state         view.Liveness
	absences      int                        // number of consecutive lists without the host
	configuration model.Version              // newest configuration that it announced
	lastHeard     time.Time                  // time of the newest heartbeat from it or update that it is alive
	missed        int                        // number of unanswered heartbeats to it since then
	missedSince   time.Time                  // time of the first of them
	due           bool                       // whether a heartbeat is due at once
	inFlight      bool                       // whether a heartbeat is in flight
	suspectedBy   map[model.HostID]time.Time // time of the newest suspicion of each other host
}

// New returns an empty table with the default timing.
func New() *Table {
	return &Table{
		Timing:  DefaultTiming(),
		hosts:   make(map[model.HostID]*host),
		updates: GossipQueue[model.HostID, Update]{Limit: updatesPerHeartbeat},
	}
}

// Epoch returns a number that grows with each change in the state, incarnation or set of hosts.
func (t *Table) Epoch() int {
	return t.epoch
}

// Size returns the number of hosts, including this one.
func (t *Table) Size() int {
	return len(t.ring) + 1
}

// ApplyList applies the platform's host list, which says which hosts exist and which are leaving.
func (t *Table) ApplyList(now time.Time, hosts []model.Host) {
	listed := make(map[model.HostID]bool, len(hosts))
	for _, item := range hosts {
		listed[item.ID] = true
		if item.ID != t.Self.ID {
			t.applyListed(now, item)
		} else if item.Leaving {
			t.Leave()
		}
	}
	for id, known := range t.hosts {
		if !listed[id] {
			t.countAbsence(now, known)
		}
	}
	t.ring = slices.Sorted(maps.Keys(t.hosts))
}

// countAbsence counts a host's absence from the list, and removes one that is silent too after several in a row.
func (t *Table) countAbsence(now time.Time, known *host) {
	known.absences++
	if known.absences >= removeAfterAbsences && !t.heardRecently(now, known) {
		delete(t.hosts, known.ID)
		t.epoch++
	}
}

// applyListed applies one entry of the platform's host list.
func (t *Table) applyListed(now time.Time, item model.Host) {
	known := t.hosts[item.ID]
	if known == nil {
		known = &host{state: view.Alive, lastHeard: now, suspectedBy: make(map[model.HostID]time.Time)}
		t.hosts[item.ID] = known
		t.epoch++
	}
	if known.Address != "" && known.Address != item.Address {
		known.due = true
	}
	known.Host = item
	known.absences = 0
	if item.Leaving && known.state == view.Alive {
		t.setState(known, view.Leaving)
	}
}

// Leave marks this host as leaving.
func (t *Table) Leave() {
	if t.leaving {
		return
	}
	t.leaving = true
	t.epoch++
	t.makeHeartbeatsDue()
}

// IsLeaving reports whether this host is leaving.
func (t *Table) IsLeaving() bool {
	return t.leaving
}

// State returns the state of an incarnation of a host; one older than the known one is dead.
func (t *Table) State(id model.HostID, incarnation model.Incarnation) view.Liveness {
	if id == t.Self.ID {
		return t.selfState(incarnation)
	}
	known := t.hosts[id]
	if known == nil || incarnation < known.incarnation {
		return view.Dead
	}
	return known.state
}

// selfState returns the state of an incarnation of this host.
func (t *Table) selfState(incarnation model.Incarnation) view.Liveness {
	switch {
	case incarnation != t.Incarnation:
		return view.Dead
	case t.leaving:
		return view.Leaving
	}
	return view.Alive
}

// Live returns the hosts that may own databases, including this one, in order of their ids.
func (t *Table) Live() []model.Host {
	live := make([]model.Host, 0, len(t.hosts)+1)
	if !t.leaving {
		live = append(live, t.Self)
	}
	for _, id := range t.ring {
		if t.hosts[id].state == view.Alive {
			live = append(live, t.hosts[id].Host)
		}
	}
	slices.SortFunc(live, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Listed returns the other known hosts of the platform's list, in order of their ids.
func (t *Table) Listed() []model.Host {
	listed := make([]model.Host, 0, len(t.ring)+1)
	for _, id := range t.ring {
		listed = append(listed, t.hosts[id].Host)
	}
	return listed
}

// TakeChanges returns the state changes since the last call, for the log.
func (t *Table) TakeChanges() []Update {
	changes := t.changes
	t.changes = nil
	return changes
}

// Hosts returns the other hosts in the form that the view of the fleet holds.
func (t *Table) Hosts() map[model.HostID]view.Host {
	hosts := make(map[model.HostID]view.Host, len(t.hosts))
	for id, known := range t.hosts {
		hosts[id] = view.Host{
			Host:          known.Host,
			Incarnation:   known.incarnation,
			Liveness:      known.state,
			Configuration: known.configuration,
			LastHeartbeat: known.lastHeard,
		}
	}
	return hosts
}

// sendsPerUpdate returns the number of heartbeats that carry an update, enough for it to reach the whole fleet.
func (t *Table) sendsPerUpdate() int {
	return 3 * t.GossipRounds()
}

// setState changes a host's state and gossips it.
func (t *Table) setState(known *host, state view.Liveness) {
	if known.state == state {
		return
	}
	known.state = state
	t.epoch++
	t.changes = append(t.changes, Update{known.ID, known.incarnation, known.sequence, state})
	t.gossip(known)
}

// gossip queues the known state of a host for the next heartbeats.
func (t *Table) gossip(known *host) {
	t.updates.Add(known.ID, Update{known.ID, known.incarnation, known.sequence, known.state}, t.sendsPerUpdate())
}

// GossipRounds returns the number of rounds that an update needs to reach the whole fleet.
func (t *Table) GossipRounds() int {
	return 1 + bits.Len(uint(t.Size()))
}
