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

// updatesPerHeartbeat is the number of hosts that one heartbeat tells of.
const updatesPerHeartbeat = 8

// fullMeshMax is the greatest number of hosts that all send heartbeats to each other.
const fullMeshMax = 6

// ringNeighbours is the number of next hosts on the ring that a host of a large fleet watches.
const ringNeighbours = 2

// removeAfterAbsences is the number of lists in turn without a host after which a silent host is forgotten.
const removeAfterAbsences = 3

// Table is one host's knowledge of all hosts.
type Table struct {
	// Self is this host.
	Self model.Host
	// Incarnation tells this run from earlier runs.
	Incarnation model.Incarnation
	// Timing holds the times.
	Timing Timing

	hosts         map[model.HostID]*host
	ring          []model.HostID
	updates       GossipQueue[model.HostID, Update]
	sequence      model.Sequence
	leaving       bool
	epoch         int
	round         int
	nextHeartbeat time.Time
	changes       []Update
}

// host is what the table knows of one other host.
type host struct {
	model.Host
	incarnation   model.Incarnation
	sequence      model.Sequence
	state         view.Liveness
	absences      int // lists in turn without the host
	configuration model.Version
	lastHeard     time.Time // last direct contact, either way
	missed        int       // own heartbeats without an answer since then
	missedSince   time.Time
	due           bool // a heartbeat is due at once
	inFlight      bool // a heartbeat is under way
	suspectedBy   map[model.HostID]time.Time
}

// New returns an empty table with the daemon's times.
func New() *Table {
	return &Table{
		Timing:  DefaultTiming(),
		hosts:   make(map[model.HostID]*host),
		updates: GossipQueue[model.HostID, Update]{Limit: updatesPerHeartbeat},
	}
}

// Epoch counts the changes of the set of live hosts.
func (t *Table) Epoch() int {
	return t.epoch
}

// Size returns the number of hosts, this one included.
func (t *Table) Size() int {
	return len(t.ring) + 1
}

// ApplyList takes the platform's list: it says who exists and who leaves.
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

// countAbsence takes a host's absence from the list: one that is silent too is forgotten after some absences in turn.
func (t *Table) countAbsence(now time.Time, known *host) {
	known.absences++
	if known.absences >= removeAfterAbsences && !t.heardRecently(now, known) {
		delete(t.hosts, known.ID)
		t.epoch++
	}
}

// applyListed takes one entry of the platform's list.
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

// State returns what is known of a host's run: a run older than the known one is dead.
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

// selfState returns the state of a run of this host.
func (t *Table) selfState(incarnation model.Incarnation) view.Liveness {
	switch {
	case incarnation != t.Incarnation:
		return view.Dead
	case t.leaving:
		return view.Leaving
	}
	return view.Alive
}

// Live returns the hosts that may own databases, this one included, in order of their ids.
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

// Listed returns the other hosts of the platform's list, in order of their ids.
func (t *Table) Listed() []model.Host {
	listed := make([]model.Host, 0, len(t.ring)+1)
	for _, id := range t.ring {
		listed = append(listed, t.hosts[id].Host)
	}
	return listed
}

// TakeChanges returns the states that changed since the last call, for the log.
func (t *Table) TakeChanges() []Update {
	changes := t.changes
	t.changes = nil
	return changes
}

// Hosts returns the other hosts as traffic sees them.
func (t *Table) Hosts() map[model.HostID]view.Host {
	hosts := make(map[model.HostID]view.Host, len(t.hosts))
	for id, known := range t.hosts {
		hosts[id] = view.Host{
			Host:          known.Host,
			Incarnation:   known.incarnation,
			State:         known.state,
			Configuration: known.configuration,
			Heard:         known.lastHeard,
		}
	}
	return hosts
}

// sendsPerUpdate returns how often an item is told so that it reaches a fleet of the size.
func (t *Table) sendsPerUpdate() int {
	return 3 * t.GossipRounds()
}

// setState changes a host's state and spreads the news.
func (t *Table) setState(known *host, state view.Liveness) {
	if known.state == state {
		return
	}
	known.state = state
	t.epoch++
	t.changes = append(t.changes, Update{known.ID, known.incarnation, known.sequence, state})
	t.gossip(known)
}

// gossip spreads what is known of a host.
func (t *Table) gossip(known *host) {
	t.updates.Add(known.ID, Update{known.ID, known.incarnation, known.sequence, known.state}, t.sendsPerUpdate())
}

// GossipRounds returns the number of rounds that news needs to reach the whole fleet.
func (t *Table) GossipRounds() int {
	return 1 + bits.Len(uint(t.Size()))
}
