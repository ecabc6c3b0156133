package member

import (
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// DueHeartbeats returns the hosts to send a heartbeat to now; each counts as in flight until HeartbeatAnswered or HeartbeatMissed.
func (t *Table) DueHeartbeats(now time.Time) []model.HostID {
	var due []model.HostID
	if !now.Before(t.nextHeartbeat) {
		due = t.heartbeatTargets()
		t.nextHeartbeat = now.Add(t.Timing.IntervalFor(t.Size()))
		t.round++
	}
	for _, id := range t.ring {
		if t.hosts[id].due && !slices.Contains(due, id) {
			due = append(due, id)
		}
	}
	due = slices.DeleteFunc(due, func(id model.HostID) bool { return t.hosts[id].inFlight })
	for _, id := range due {
		t.hosts[id].due = false
		t.hosts[id].inFlight = true
	}
	return due
}

// heartbeatTargets returns the targets of this round: all hosts of a small fleet, else the next ones on the ring and a finger.
func (t *Table) heartbeatTargets() []model.HostID {
	if t.Size() <= fullMeshMax {
		return slices.Clone(t.ring)
	}
	start, _ := slices.BinarySearch(t.ring, t.Self.ID)
	var chosen []model.HostID
	for step := 1; len(chosen) < ringNeighbours && step <= len(t.ring); step++ {
		id := t.ring[(start+step-1)%len(t.ring)]
		if t.hosts[id].state != view.Dead {
			chosen = append(chosen, id)
		}
	}
	if distant := t.finger(start); !slices.Contains(chosen, distant) {
		chosen = append(chosen, distant)
	}
	return chosen
}

// finger returns a distant host, as in a Chord ring: the distance doubles each round and starts over at the ring's end, so
// that gossip spreads in logarithmic time.
func (t *Table) finger(start int) model.HostID {
	distance := 1
	for range t.round % 16 {
		distance *= 2
		if distance >= len(t.ring) {
			distance = 1
		}
	}
	return t.ring[(start+distance)%len(t.ring)]
}

// NextSequence returns the sequence number of this host's next heartbeat.
func (t *Table) NextSequence() model.Sequence {
	t.sequence++
	return t.sequence
}

// TakeUpdates returns the updates to send in one heartbeat.
func (t *Table) TakeUpdates() []Update {
	return t.updates.Take()
}

// ReceiveHeartbeat records a heartbeat from a host, whether a request or an answer.
func (t *Table) ReceiveHeartbeat(now time.Time, id model.HostID, incarnation model.Incarnation, sequence model.Sequence, leaving bool, configuration model.Version) {
	known := t.hosts[id]
	if known == nil || incarnation < known.incarnation {
		return
	}
	if incarnation > known.incarnation {
		known.incarnation = incarnation
		known.sequence = 0
		t.epoch++
	}
	known.sequence = max(known.sequence, sequence)
	known.configuration = max(known.configuration, configuration)
	known.lastHeard = now
	known.missed = 0
	clear(known.suspectedBy)
	state := view.Alive
	if leaving || known.Leaving {
		state = view.Leaving
	}
	t.setState(known, state)
}

// HeartbeatAnswered records that the heartbeat in flight to a host was answered.
func (t *Table) HeartbeatAnswered(id model.HostID) {
	if known := t.hosts[id]; known != nil {
		known.inFlight = false
	}
}

// HeartbeatMissed records that the heartbeat in flight to a host got no answer.
func (t *Table) HeartbeatMissed(now time.Time, id model.HostID) {
	known := t.hosts[id]
	if known == nil {
		return
	}
	known.inFlight = false
	if known.missed == 0 {
		known.missedSince = now
	}
	known.missed++
	known.due = known.missed < suspectAfterMisses
}

// suspectAfterMisses is the number of consecutive unanswered heartbeats after which a silent host is suspect.
const suspectAfterMisses = 2

// ReceiveUpdate processes an update about a host that another host sent.
func (t *Table) ReceiveUpdate(now time.Time, from model.HostID, update Update) {
	if update.Host == t.Self.ID {
		t.refute(update)
		return
	}
	known := t.hosts[update.Host]
	if known == nil {
		return
	}
	if update.State == view.Suspect && update.Incarnation == known.incarnation && known.missed > 0 {
		known.suspectedBy[from] = now
	}
	current := Update{known.ID, known.incarnation, known.sequence, known.state}
	if !update.newer(current) {
		t.correctPeer(known, update)
		return
	}
	t.applyUpdate(now, from, known, update)
}

// applyUpdate applies an update that is newer than what is known of the host.
//
// A suspicion, or a death that contradicts a recent heartbeat, only makes a heartbeat to the host due.
func (t *Table) applyUpdate(now time.Time, from model.HostID, known *host, update Update) {
	if update.Incarnation > known.incarnation {
		known.incarnation = update.Incarnation
		t.epoch++
	}
	known.sequence = update.Sequence
	switch {
	case update.State == view.Suspect:
		known.suspectedBy[from] = now
		known.due = true
	case update.State == view.Dead && t.heardRecently(now, known):
		known.due = true
	case update.State == view.Alive:
		known.lastHeard = now
		known.missed = 0
		t.setState(known, update.State)
	default:
		t.setState(known, update.State)
	}
}

// correctPeer gossips the known state again when another host still considers a live host suspect or dead.
func (t *Table) correctPeer(known *host, update Update) {
	worse := severity[update.State] >= severity[view.Suspect]
	if worse && known.state == view.Alive && update.Incarnation <= known.incarnation {
		t.gossip(known)
	}
}

// refute gossips this host's own state when another host considers it suspect or dead.
func (t *Table) refute(update Update) {
	if update.Incarnation != t.Incarnation || severity[update.State] < severity[view.Suspect] {
		return
	}
	state := view.Alive
	if t.leaving {
		state = view.Leaving
	}
	t.updates.Add(t.Self.ID, Update{t.Self.ID, t.Incarnation, t.NextSequence(), state}, t.sendsPerUpdate())
}

// heardRecently reports whether a host was heard from within the suspicion timeout, without an unanswered heartbeat since.
func (t *Table) heardRecently(now time.Time, known *host) bool {
	return now.Sub(known.lastHeard) < t.Timing.SuspectTimeoutFor(t.Size()) && known.missed == 0
}

// DetectFailures marks silent hosts as suspect and confirmed suspects as dead; it reports whether a state changed.
func (t *Table) DetectFailures(now time.Time) bool {
	before := t.epoch
	for _, id := range t.ring {
		t.detectFailure(now, t.hosts[id])
	}
	return t.epoch != before
}

// detectFailure updates the state of one host.
func (t *Table) detectFailure(now time.Time, known *host) {
	if known.state == view.Dead || known.missed < suspectAfterMisses {
		return
	}
	silence := now.Sub(known.lastHeard)
	if silence < t.Timing.SuspectTimeoutFor(t.Size()) {
		known.due = true
		return
	}
	if known.state != view.Suspect {
		t.setState(known, view.Suspect)
		t.makeHeartbeatsDue()
	}
	if t.suspicionConfirmed(now, known) || (t.noThirdHost(known) && silence >= t.Timing.UnconfirmedTimeout) {
		t.setState(known, view.Dead)
		t.makeHeartbeatsDue()
	}
}

// suspicionConfirmed reports whether another host has recently suspected the host too.
func (t *Table) suspicionConfirmed(now time.Time, known *host) bool {
	for _, since := range known.suspectedBy {
		if now.Sub(since) <= t.Timing.SuspicionTTL {
			return true
		}
	}
	return false
}

// noThirdHost reports whether all hosts besides this one and the suspect are dead, so that none can confirm the suspicion.
func (t *Table) noThirdHost(suspect *host) bool {
	for _, id := range t.ring {
		if other := t.hosts[id]; other != suspect && other.state != view.Dead {
			return false
		}
	}
	return true
}

// Alone reports whether all other hosts are dead.
func (t *Table) Alone() bool {
	for _, known := range t.hosts {
		if known.state != view.Dead {
			return false
		}
	}
	return true
}

// HeartbeatNow makes the next round of heartbeats due at once, so that gossip is not delayed.
func (t *Table) HeartbeatNow() {
	t.makeHeartbeatsDue()
}

// Host returns a host with its address and location, or with its id alone if it is not known.
func (t *Table) Host(id model.HostID) model.Host {
	if known := t.hosts[id]; known != nil {
		return known.Host
	}
	return model.Host{ID: id}
}

// makeHeartbeatsDue makes the next round of heartbeats due at once.
func (t *Table) makeHeartbeatsDue() {
	t.nextHeartbeat = time.Time{}
}
