package member

import (
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// DueHeartbeats returns the hosts that a heartbeat goes to now, and counts each as under way until Answered or Missed.
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

// heartbeatTargets returns the hosts that this round's heartbeats go to: all of a small fleet, or the next ones on the ring and one further away.
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
	if far := t.finger(start); !slices.Contains(chosen, far) {
		chosen = append(chosen, far)
	}
	return chosen
}

// finger returns the host at this round's power of two along the ring, so that news crosses the fleet in logarithmic time.
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

// NextSequence counts one more heartbeat of this host.
func (t *Table) NextSequence() model.Sequence {
	t.sequence++
	return t.sequence
}

// TakeUpdates returns the news that go into one heartbeat.
func (t *Table) TakeUpdates() []Update {
	return t.updates.Take()
}

// ReceiveHeartbeat takes a heartbeat that came from a host, as a request or as an answer.
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

// HeartbeatAnswered ends a heartbeat that got its answer.
func (t *Table) HeartbeatAnswered(id model.HostID) {
	if known := t.hosts[id]; known != nil {
		known.inFlight = false
	}
}

// HeartbeatMissed ends a heartbeat that got no answer.
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

// suspectAfterMisses is the number of unanswered heartbeats that make a silent host suspect.
const suspectAfterMisses = 2

// ReceiveUpdate takes news from another host.
func (t *Table) ReceiveUpdate(now time.Time, from model.HostID, news Update) {
	if news.Host == t.Self.ID {
		t.refute(news)
		return
	}
	known := t.hosts[news.Host]
	if known == nil {
		return
	}
	if news.State == view.Suspect && news.Incarnation == known.incarnation && known.missed > 0 {
		known.suspectedBy[from] = now
	}
	current := Update{known.ID, known.incarnation, known.sequence, known.state}
	if !news.newer(current) {
		t.correctPeer(known, news)
		return
	}
	t.applyUpdate(now, from, known, news)
}

// applyUpdate takes newer news of a host.
func (t *Table) applyUpdate(now time.Time, from model.HostID, known *host, news Update) {
	if news.Incarnation > known.incarnation {
		known.incarnation = news.Incarnation
		t.epoch++
	}
	known.sequence = news.Sequence
	switch {
	case news.State == view.Suspect:
		known.suspectedBy[from] = now
		known.due = true
	case news.State == view.Dead && t.heardRecently(now, known):
		known.due = true
	case news.State == view.Alive:
		known.lastHeard = now
		known.missed = 0
		t.setState(known, news.State)
	default:
		t.setState(known, news.State)
	}
}

// correctPeer tells again what is known when a host still believes an older, worse state.
func (t *Table) correctPeer(known *host, news Update) {
	worse := severity[news.State] >= severity[view.Suspect]
	if worse && known.state == view.Alive && news.Incarnation <= known.incarnation {
		t.gossip(known)
	}
}

// refute tells that this host lives when others doubt it.
func (t *Table) refute(news Update) {
	if news.Incarnation != t.Incarnation || severity[news.State] < severity[view.Suspect] {
		return
	}
	state := view.Alive
	if t.leaving {
		state = view.Leaving
	}
	t.updates.Add(t.Self.ID, Update{t.Self.ID, t.Incarnation, t.NextSequence(), state}, t.sendsPerUpdate())
}

// heardRecently reports whether this host itself heard from the other a moment ago.
func (t *Table) heardRecently(now time.Time, known *host) bool {
	return now.Sub(known.lastHeard) < t.Timing.SuspectTimeoutFor(t.Size()) && known.missed == 0
}

// DetectFailures makes silent hosts suspect and confirmed suspects dead; it returns true when a state changed.
func (t *Table) DetectFailures(now time.Time) bool {
	before := t.epoch
	for _, id := range t.ring {
		t.detectFailure(now, t.hosts[id])
	}
	return t.epoch != before
}

// detectFailure decides on one host.
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

// suspicionConfirmed reports whether another host suspects the host too.
func (t *Table) suspicionConfirmed(now time.Time, known *host) bool {
	for _, since := range known.suspectedBy {
		if now.Sub(since) <= t.Timing.SuspicionTTL {
			return true
		}
	}
	return false
}

// noThirdHost reports whether every third host is known to be dead, so that none could confirm a suspicion.
func (t *Table) noThirdHost(suspect *host) bool {
	for _, id := range t.ring {
		if other := t.hosts[id]; other != suspect && other.state != view.Dead {
			return false
		}
	}
	return true
}

// Alone reports whether no other host is left.
func (t *Table) Alone() bool {
	for _, known := range t.hosts {
		if known.state != view.Dead {
			return false
		}
	}
	return true
}

// HeartbeatNow makes a heartbeat to the neighbours due at once, so that news does not wait.
func (t *Table) HeartbeatNow() {
	t.makeHeartbeatsDue()
}

// Host returns where a host is.
func (t *Table) Host(id model.HostID) model.Host {
	if known := t.hosts[id]; known != nil {
		return known.Host
	}
	return model.Host{ID: id}
}

// makeHeartbeatsDue makes a heartbeat to the neighbours due at once, so that news does not wait.
func (t *Table) makeHeartbeatsDue() {
	t.nextHeartbeat = time.Time{}
}
