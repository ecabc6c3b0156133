package member

import (
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Due returns the hosts that a heartbeat goes to now, and counts each as under way until Answered or Missed.
func (t *Table) Due(now time.Time) []model.HostID {
	var due []model.HostID
	if !now.Before(t.nextBeat) {
		due = t.neighbours()
		t.nextBeat = now.Add(t.Timing.Every(t.Size()))
		t.round++
	}
	for _, id := range t.ring {
		if t.hosts[id].probe && !slices.Contains(due, id) {
			due = append(due, id)
		}
	}
	due = slices.DeleteFunc(due, func(id model.HostID) bool { return t.hosts[id].busy })
	for _, id := range due {
		t.hosts[id].probe = false
		t.hosts[id].busy = true
	}
	return due
}

// neighbours returns the hosts that this round's heartbeats go to: all of a small fleet, or the next ones on the ring and one further away.
func (t *Table) neighbours() []model.HostID {
	if t.Size() <= fullMesh {
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

// TakeNews returns the news that go into one heartbeat.
func (t *Table) TakeNews() []News {
	return t.news.Take()
}

// Heard takes a heartbeat that came from a host, as a request or as an answer.
func (t *Table) Heard(now time.Time, id model.HostID, incarnation model.Incarnation, sequence model.Sequence, leaving bool, configuration model.Version) {
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
	known.heard = now
	known.missed = 0
	clear(known.accusers)
	state := view.Alive
	if leaving || known.Leaving {
		state = view.Leaving
	}
	t.set(known, state)
}

// Answered ends a heartbeat that got its answer.
func (t *Table) Answered(id model.HostID) {
	if known := t.hosts[id]; known != nil {
		known.busy = false
	}
}

// Missed ends a heartbeat that got no answer.
func (t *Table) Missed(now time.Time, id model.HostID) {
	known := t.hosts[id]
	if known == nil {
		return
	}
	known.busy = false
	if known.missed == 0 {
		known.missedSince = now
	}
	known.missed++
	known.probe = known.missed < missesOfSuspect
}

// missesOfSuspect is the number of unanswered heartbeats that make a silent host suspect.
const missesOfSuspect = 2

// Told takes news from another host.
func (t *Table) Told(now time.Time, from model.HostID, news News) {
	if news.Host == t.Self.ID {
		t.refute(news)
		return
	}
	known := t.hosts[news.Host]
	if known == nil {
		return
	}
	if news.State == view.Suspect && news.Incarnation == known.incarnation && known.missed > 0 {
		known.accusers[from] = now
	}
	current := News{known.ID, known.incarnation, known.sequence, known.state}
	if !news.newer(current) {
		t.correct(known, news)
		return
	}
	t.learn(now, from, known, news)
}

// learn takes newer news of a host.
func (t *Table) learn(now time.Time, from model.HostID, known *host, news News) {
	if news.Incarnation > known.incarnation {
		known.incarnation = news.Incarnation
		t.epoch++
	}
	known.sequence = news.Sequence
	switch {
	case news.State == view.Suspect:
		known.accusers[from] = now
		known.probe = true
	case news.State == view.Dead && t.fresh(now, known):
		known.probe = true
	case news.State == view.Alive:
		known.heard = now
		known.missed = 0
		t.set(known, news.State)
	default:
		t.set(known, news.State)
	}
}

// correct tells again what is known when a host still believes an older, worse state.
func (t *Table) correct(known *host, news News) {
	worse := severity[news.State] >= severity[view.Suspect]
	if worse && known.state == view.Alive && news.Incarnation <= known.incarnation {
		t.tell(known)
	}
}

// refute tells that this host lives when others doubt it.
func (t *Table) refute(news News) {
	if news.Incarnation != t.Incarnation || severity[news.State] < severity[view.Suspect] {
		return
	}
	state := view.Alive
	if t.leaving {
		state = view.Leaving
	}
	t.news.Add(t.Self.ID, News{t.Self.ID, t.Incarnation, t.NextSequence(), state}, t.tellings())
}

// fresh reports whether this host itself heard from the other a moment ago.
func (t *Table) fresh(now time.Time, known *host) bool {
	return now.Sub(known.heard) < t.Timing.Silence(t.Size()) && known.missed == 0
}

// Judge makes silent hosts suspect and confirmed suspects dead; it returns true when a state changed.
func (t *Table) Judge(now time.Time) bool {
	before := t.epoch
	for _, id := range t.ring {
		t.judge(now, t.hosts[id])
	}
	return t.epoch != before
}

// judge decides on one host.
func (t *Table) judge(now time.Time, known *host) {
	if known.state == view.Dead || known.missed < missesOfSuspect {
		return
	}
	silence := now.Sub(known.heard)
	if silence < t.Timing.Silence(t.Size()) {
		known.probe = true
		return
	}
	if known.state != view.Suspect {
		t.set(known, view.Suspect)
		t.probeAll()
	}
	if t.confirmed(now, known) || (t.alone(known) && silence >= t.Timing.Lone) {
		t.set(known, view.Dead)
		t.probeAll()
	}
}

// confirmed reports whether another host suspects the host too.
func (t *Table) confirmed(now time.Time, known *host) bool {
	for _, since := range known.accusers {
		if now.Sub(since) <= t.Timing.Accusation {
			return true
		}
	}
	return false
}

// alone reports whether every third host is known to be dead, so that none could confirm a suspicion.
func (t *Table) alone(suspect *host) bool {
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

// BeatNow makes a heartbeat to the neighbours due at once, so that news does not wait.
func (t *Table) BeatNow() {
	t.probeAll()
}

// Host returns where a host is.
func (t *Table) Host(id model.HostID) model.Host {
	if known := t.hosts[id]; known != nil {
		return known.Host
	}
	return model.Host{ID: id}
}

// probeAll makes a heartbeat to the neighbours due at once, so that news does not wait.
func (t *Table) probeAll() {
	t.nextBeat = time.Time{}
}
