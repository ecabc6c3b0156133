package governor

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// beatFan is the number of hosts that one beat goes to; a larger fleet is told in turns, so that the cost stays flat.
const beatFan = 8

// loadEvery is the time between two beats that tell loads, which are means over a longer time; in a large fleet, where a
// host gets a beat about as seldom, each tells them.
const loadEvery = time.Second

// enrol takes the hosts' own rows.
func (g *Governor) enrol(now time.Time, roster Roster) {
	listed := make(map[model.HostID]bool, len(roster.Hosts))
	for _, row := range roster.Hosts {
		listed[row.ID] = true
		if row.ID != g.Self.ID {
			g.place(now, row)
		}
	}
	for _, id := range roster.Removed {
		g.remove(now, id)
	}
	if roster.Whole {
		g.enrolled = true
		for id := range g.hosts {
			if !listed[id] {
				g.remove(now, id)
			}
		}
	}
	for _, lead := range roster.Leads {
		g.lead(now, lead)
	}
}

// place notes where a host is; one that is new counts as alive until it stays silent.
func (g *Governor) place(now time.Time, row Host) {
	known, found := g.hosts[row.ID]
	if !found {
		g.hosts[row.ID] = &host{Host: row, heard: now}
		g.urgent = true
		return
	}
	if row.Incarnation >= known.Incarnation {
		known.Host = row
	}
}

// remove forgets a host without a row, unless it is heard.
func (g *Governor) remove(now time.Time, id model.HostID) {
	if known, found := g.hosts[id]; found && now.Sub(known.heard) > g.silence() {
		delete(g.hosts, id)
	}
}

// hear takes another host's beat.
func (g *Governor) hear(now time.Time, e Heard) {
	beat := e.Beat
	if beat.Host == g.Self.ID {
		return
	}
	known, found := g.hosts[beat.Host]
	if !found {
		known = &host{Host: Host{ID: beat.Host, Address: e.From, Incarnation: beat.Incarnation}}
		g.hosts[beat.Host] = known
		g.urgent = true
	}
	old := known.beat
	if beat.Incarnation < old.Incarnation || (beat.Incarnation == old.Incarnation && beat.Sequence <= old.Sequence) {
		return
	}
	if known.dead {
		known.dead = false
		event.DependencyRegained(g.Logger, "host "+string(beat.Host), model.Millis(now.Sub(known.heard)))
	}
	known.Address, known.Incarnation = e.From, beat.Incarnation
	if beat.Loads == nil {
		beat.Loads = old.Loads // this beat tells none
	}
	known.beat = beat
	known.heard = now
	for database, sight := range beat.Sights {
		sight.ReceivedAt = now
		g.watch(database).SetPeer(beat.Host, sight)
	}
	d := g.book.Directory()
	if beat.Version > d.Version || beat.Revision > d.Revision {
		if known.newer.IsZero() {
			known.newer = now
		}
	} else {
		known.newer = time.Time{}
	}
}

// silence returns the silence after which a host counts as gone: longer where beats take turns.
func (g *Governor) silence() time.Duration {
	return g.Timing.Silent + time.Duration(max(g.turns()-1, 0))*3*g.Timing.Beat
}

// turns returns the number of beats after which each host has got one.
func (g *Governor) turns() int { return (len(g.hosts) + beatFan - 1) / beatFan }

// live returns the hosts that are heard, this one included.
func (g *Governor) live(now time.Time) []model.HostID {
	live := []model.HostID{g.Self.ID}
	silence := g.silence()
	for id, known := range g.hosts {
		if now.Sub(known.heard) <= silence && !known.beat.Leaving && known.beat.Sequence > 0 {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// beat returns the beat that is due, or nil.
func (g *Governor) beat(now time.Time) Action {
	silence := g.silence()
	for id, known := range g.hosts {
		if !known.dead && now.Sub(known.heard) > silence {
			known.dead = true
			event.DependencyLost(g.Logger, "host "+string(id), errSilent)
			for _, c := range g.cases {
				c.Prune(g.heard(now))
			}
		}
	}
	urgent := g.urgent && now.Sub(g.rushed) >= time.Duration(g.turns())*g.Timing.Urgent
	if len(g.hosts) == 0 || (!urgent && now.Sub(g.beaten) < g.Timing.Beat) {
		return nil
	}
	if urgent {
		g.urgent = false
		g.rushed = now
	}
	g.beaten = now
	g.sequence++
	return Send{To: g.receivers(urgent), Beat: g.tell(now)}
}

// heard returns the hosts that are heard.
func (g *Governor) heard(now time.Time) map[model.HostID]bool {
	heard := make(map[model.HostID]bool)
	for _, id := range g.live(now) {
		heard[id] = true
	}
	return heard
}

// receivers returns where the next beat goes: everywhere in a small fleet or when it is urgent, else to the next in turn.
func (g *Governor) receivers(urgent bool) (to []model.Address) {
	ids := slices.Sorted(maps.Keys(g.hosts))
	if len(ids) <= beatFan || urgent {
		for _, id := range ids {
			to = append(to, g.hosts[id].Address)
		}
		return to
	}
	for range beatFan {
		g.round = (g.round + 1) % len(ids)
		to = append(to, g.hosts[ids[g.round]].Address)
	}
	return to
}

// tell returns what a beat tells.
//
// Sights go out only of primaries that some host finds silent, and loads only now and then, so that a calm fleet says
// little.
func (g *Governor) tell(now time.Time) Beat {
	d := g.book.Directory()
	beat := Beat{
		Host:        g.Self.ID,
		Incarnation: g.Self.Incarnation,
		Sequence:    g.sequence,
		Leaving:     g.stopping,
		Version:     d.Version,
		Revision:    d.Revision,
		Sights:      make(map[model.DatabaseID]sight),
	}
	for database, c := range g.cases {
		if s := c.Observation(); s.State == failover.Silent || (s.Instance != "" && c.SuspectedByPeer(now)) {
			beat.Sights[database] = s
		}
	}
	if len(g.hosts) <= beatFan && now.Sub(g.counted) < loadEvery {
		return beat
	}
	g.counted = now
	beat.Loads = make(map[model.InstanceID]model.Load)
	for id, load := range g.loads {
		if _, known := d.Instances[id]; known && load > leastLoad {
			beat.Loads[id] = load
		}
	}
	return beat
}

// fetch returns the fetches from hosts whose directory is newer and does not come from the store.
func (g *Governor) fetch(now time.Time) (actions []Action) {
	d := g.book.Directory()
	var best *host
	for _, known := range g.hosts {
		ahead := known.beat.Version > d.Version || known.beat.Revision > d.Revision
		if !ahead {
			known.newer = time.Time{}
			continue
		}
		if known.fetched {
			return nil // one at a time
		}
		if known.dead || known.newer.IsZero() || now.Sub(known.newer) < g.Timing.Fetch {
			continue
		}
		near := known.DataCentre == g.Self.DataCentre
		if best == nil || (near && best.DataCentre != g.Self.DataCentre) {
			best = known
		}
	}
	if best == nil {
		return nil
	}
	best.fetched = true
	return []Action{Fetch{Host: best.ID, Address: best.Address}}
}

// fetched takes the end of a fetch.
func (g *Governor) fetched(now time.Time, e Fetched) {
	if known, found := g.hosts[e.Host]; found {
		known.fetched = false
		known.newer = now
	}
	if e.News != nil {
		g.learn(now, *e.News)
	}
}

// forget returns the removal of the row of a host that is gone for good; the first live host does it.
func (g *Governor) forget(now time.Time, live []model.HostID) []Action {
	if live[0] != g.Self.ID {
		return nil
	}
	for id, known := range g.hosts {
		if known.dead && now.Sub(known.heard) > g.Timing.Forget && now.Sub(g.started) > g.Timing.Forget {
			delete(g.hosts, id)
			return []Action{Forget{Host: id}}
		}
	}
	return nil
}
