package controller

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// heartbeatFanout is the number of hosts that one beat goes to; a larger fleet is told in turns, so that the cost stays flat.
const heartbeatFanout = 8

// loadInterval is the time between two beats that tell loads, which are means over a longer time; in a large fleet, where a
// host gets a beat about as seldom, each tells them.
const loadInterval = time.Second

// updateMembership takes the hosts' own rows.
func (g *Controller) updateMembership(now time.Time, roster MembershipUpdate) {
	listed := make(map[model.HostID]bool, len(roster.Hosts))
	for _, row := range roster.Hosts {
		listed[row.ID] = true
		if row.ID != g.Self.ID {
			g.addHost(now, row)
		}
	}
	for _, id := range roster.Removed {
		g.removeHost(now, id)
	}
	if roster.Full {
		g.hostsRead = true
		for id := range g.hosts {
			if !listed[id] {
				g.removeHost(now, id)
			}
		}
	}
	for _, lead := range roster.Promotions {
		g.setPromotion(now, lead)
	}
}

// addHost notes where a host is; one that is new counts as alive until it stays silent.
func (g *Controller) addHost(now time.Time, row Host) {
	known, found := g.hosts[row.ID]
	if !found {
		g.hosts[row.ID] = &host{Host: row, lastHeard: now}
		g.urgent = true
		return
	}
	if row.Incarnation >= known.Incarnation {
		known.Host = row
	}
}

// removeHost forgets a host without a row, unless it is heard.
func (g *Controller) removeHost(now time.Time, id model.HostID) {
	if known, found := g.hosts[id]; found && now.Sub(known.lastHeard) > g.hostTimeout() {
		delete(g.hosts, id)
	}
}

// receiveHeartbeat takes another host's beat.
func (g *Controller) receiveHeartbeat(now time.Time, e HeartbeatReceived) {
	beat := e.Heartbeat
	if beat.Host == g.Self.ID {
		return
	}
	known, found := g.hosts[beat.Host]
	if !found {
		known = &host{Host: Host{ID: beat.Host, Address: e.From, Incarnation: beat.Incarnation}}
		g.hosts[beat.Host] = known
		g.urgent = true
	}
	old := known.heartbeat
	if beat.Incarnation < old.Incarnation || (beat.Incarnation == old.Incarnation && beat.Sequence <= old.Sequence) {
		return
	}
	if known.dead {
		known.dead = false
		event.DependencyRegained(g.Logger, "host "+string(beat.Host), model.Millis(now.Sub(known.lastHeard)))
	}
	known.Address, known.Incarnation = e.From, beat.Incarnation
	if beat.Loads == nil {
		beat.Loads = old.Loads // this beat tells none
	}
	known.heartbeat = beat
	known.lastHeard = now
	for database, sight := range beat.Primaries {
		sight.Heard = now
		g.caseOf(database).Hear(beat.Host, sight)
	}
	d := g.directory.Directory()
	if beat.Version > d.Version || beat.Revision > d.Revision {
		if known.newerSince.IsZero() {
			known.newerSince = now
		}
	} else {
		known.newerSince = time.Time{}
	}
}

// hostTimeout returns the silence after which a host counts as gone: longer where beats take turns.
func (g *Controller) hostTimeout() time.Duration {
	return g.Timing.HostTimeout + time.Duration(max(g.rounds()-1, 0))*3*g.Timing.HeartbeatInterval
}

// rounds returns the number of beats after which each host has got one.
func (g *Controller) rounds() int { return (len(g.hosts) + heartbeatFanout - 1) / heartbeatFanout }

// liveHosts returns the hosts that are heard, this one included.
func (g *Controller) liveHosts(now time.Time) []model.HostID {
	live := []model.HostID{g.Self.ID}
	silence := g.hostTimeout()
	for id, known := range g.hosts {
		if now.Sub(known.lastHeard) <= silence && !known.heartbeat.Leaving && known.heartbeat.Sequence > 0 {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// dueHeartbeat returns the beat that is due, or nil.
func (g *Controller) dueHeartbeat(now time.Time) Action {
	silence := g.hostTimeout()
	for id, known := range g.hosts {
		if !known.dead && now.Sub(known.lastHeard) > silence {
			known.dead = true
			event.DependencyLost(g.Logger, "host "+string(id), errNoHeartbeat)
			for _, c := range g.cases {
				c.Forget(g.liveSet(now))
			}
		}
	}
	urgent := g.urgent && now.Sub(g.lastUrgent) >= time.Duration(g.rounds())*g.Timing.UrgentInterval
	if len(g.hosts) == 0 || (!urgent && now.Sub(g.lastHeartbeat) < g.Timing.HeartbeatInterval) {
		return nil
	}
	if urgent {
		g.urgent = false
		g.lastUrgent = now
	}
	g.lastHeartbeat = now
	g.sequence++
	return SendHeartbeat{To: g.receivers(urgent), Heartbeat: g.newHeartbeat(now)}
}

// liveSet returns the hosts that are heard.
func (g *Controller) liveSet(now time.Time) map[model.HostID]bool {
	heard := make(map[model.HostID]bool)
	for _, id := range g.liveHosts(now) {
		heard[id] = true
	}
	return heard
}

// receivers returns where the next beat goes: everywhere in a small fleet or when it is urgent, else to the next in turn.
func (g *Controller) receivers(urgent bool) (to []model.Address) {
	ids := slices.Sorted(maps.Keys(g.hosts))
	if len(ids) <= heartbeatFanout || urgent {
		for _, id := range ids {
			to = append(to, g.hosts[id].Address)
		}
		return to
	}
	for range heartbeatFanout {
		g.nextReceiver = (g.nextReceiver + 1) % len(ids)
		to = append(to, g.hosts[ids[g.nextReceiver]].Address)
	}
	return to
}

// newHeartbeat returns what a beat tells.
//
// Sights go out only of primaries that some host finds silent, and loads only now and then, so that a calm fleet says
// little.
func (g *Controller) newHeartbeat(now time.Time) Heartbeat {
	d := g.directory.Directory()
	beat := Heartbeat{
		Host:        g.Self.ID,
		Incarnation: g.Self.Incarnation,
		Sequence:    g.sequence,
		Leaving:     g.stopping,
		Version:     d.Version,
		Revision:    d.Revision,
		Primaries:   make(map[model.DatabaseID]sight),
	}
	for database, c := range g.cases {
		if s := c.Sight(); s.State == failover.Silent || (s.Instance != "" && c.Doubted(now)) {
			beat.Primaries[database] = s
		}
	}
	if len(g.hosts) <= heartbeatFanout && now.Sub(g.lastLoads) < loadInterval {
		return beat
	}
	g.lastLoads = now
	beat.Loads = make(map[model.InstanceID]model.Load)
	for id, load := range g.loads {
		if _, known := d.Instances[id]; known && load > minLoad {
			beat.Loads[id] = load
		}
	}
	return beat
}

// dueFetches returns the fetches from hosts whose directory is newer and does not come from the store.
func (g *Controller) dueFetches(now time.Time) (actions []Action) {
	d := g.directory.Directory()
	var best *host
	for _, known := range g.hosts {
		ahead := known.heartbeat.Version > d.Version || known.heartbeat.Revision > d.Revision
		if !ahead {
			known.newerSince = time.Time{}
			continue
		}
		if known.fetching {
			return nil // one at a time
		}
		if known.dead || known.newerSince.IsZero() || now.Sub(known.newerSince) < g.Timing.FetchDelay {
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
	best.fetching = true
	return []Action{FetchDirectory{Host: best.ID, Address: best.Address}}
}

// finishFetch takes the end of a fetch.
func (g *Controller) finishFetch(now time.Time, e DirectoryFetchDone) {
	if known, found := g.hosts[e.Host]; found {
		known.fetching = false
		known.newerSince = now
	}
	if e.Update != nil {
		g.updateDirectory(now, *e.Update)
	}
}

// dueDeletion returns the removal of the row of a host that is gone for good; the first live host does it.
func (g *Controller) dueDeletion(now time.Time, live []model.HostID) []Action {
	if live[0] != g.Self.ID {
		return nil
	}
	for id, known := range g.hosts {
		if known.dead && now.Sub(known.lastHeard) > g.Timing.RowRetention && now.Sub(g.started) > g.Timing.RowRetention {
			delete(g.hosts, id)
			return []Action{DeleteHostRow{Host: id}}
		}
	}
	return nil
}
