package controller

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// heartbeatFanout is the number of receivers of one heartbeat; in a larger fleet the receivers rotate, so that the cost
// doesn't grow with the fleet.
const heartbeatFanout = 8

// loadInterval is the time between two heartbeats that carry loads, which are averages over a longer time. In a fleet
// larger than heartbeatFanout, where each host receives heartbeats about as rarely, every heartbeat carries them.
const loadInterval = time.Second

// updateMembership applies changes of the hosts' rows.
func (c *Controller) updateMembership(now time.Time, update MembershipUpdate) {
	c.rows = c.rows.Latest(update.Position)
	listed := make(map[model.HostID]bool, len(update.Hosts))
	for _, row := range update.Hosts {
		listed[row.ID] = true
		if row.ID != c.Self.ID {
			c.addHost(now, row)
		}
	}
	for _, id := range update.Removed {
		c.removeHost(now, id)
	}
	if update.Full {
		c.hostsRead = true
		if c.lease != nil {
			defer c.lease.RowsRead(0) // once the promotions are recorded
		}
		for id := range c.hosts {
			if !listed[id] {
				c.removeHost(now, id)
			}
		}
	}
	for _, promotion := range update.Promotions {
		c.setPromotion(now, promotion)
	}
}

// addHost adds or updates a host from its row; a new host isn't declared dead before the timeout.
func (c *Controller) addHost(now time.Time, row Host) {
	known, found := c.hosts[row.ID]
	if !found {
		c.hosts[row.ID] = &host{Host: row, lastHeard: now}
		c.membership++
		c.urgent = true
		return
	}
	if row.Incarnation >= known.Incarnation {
		if row.DataCentre != known.DataCentre || row.Relay != known.Relay {
			c.membership++
		}
		known.Host = row
	}
}

// removeHost removes a host whose row is gone, unless its heartbeats still arrive.
func (c *Controller) removeHost(now time.Time, id model.HostID) {
	if known, found := c.hosts[id]; found && now.Sub(known.lastHeard) > c.hostTimeout() {
		delete(c.hosts, id)
		c.membership++
		c.scouts.Forget(id)
	}
}

// receiveHeartbeat processes a heartbeat of another host; duplicates and reordered ones are ignored.
func (c *Controller) receiveHeartbeat(now time.Time, e HeartbeatReceived) []Action {
	heartbeat := e.Heartbeat
	if heartbeat.Host == c.Self.ID {
		return nil
	}
	known, found := c.hosts[heartbeat.Host]
	if !found {
		known = &host{Host: Host{ID: heartbeat.Host, Address: e.From, Incarnation: heartbeat.Incarnation}}
		c.hosts[heartbeat.Host] = known
		c.membership++
		c.urgent = true
	}
	previous := known.heartbeat
	if heartbeat.Incarnation < previous.Incarnation || (heartbeat.Incarnation == previous.Incarnation && heartbeat.Sequence <= previous.Sequence) {
		return nil
	}
	if known.dead {
		known.dead = false
		c.membership++
		event.DependencyRegained(c.Logger, "host "+string(heartbeat.Host), model.Millis(now.Sub(known.lastHeard)))
	}
	if heartbeat.Undated {
		heartbeat.Position.Era, heartbeat.Rows.Era = c.directory.Directory().Position.Era, c.rows.Era
	}
	known.Address, known.Incarnation = e.From, heartbeat.Incarnation
	if heartbeat.Loads == nil {
		heartbeat.Loads = previous.Loads // this heartbeat carries none
	}
	if c.lease != nil && heartbeat.Incarnation > previous.Incarnation {
		c.lease.Restarted(heartbeat.Host)
		c.urgent = true // it needs confirmations
	}
	if heartbeat.Leaving != known.heartbeat.Leaving {
		c.membership++
	}
	known.heartbeat = heartbeat
	known.lastHeard = now
	if heartbeat.Follows {
		c.followerHeard = now
	}
	c.receiveLease(now, heartbeat.Host, heartbeat.Lease)
	for database, observed := range heartbeat.Primaries {
		observed.ReceivedAt = now
		c.monitorOf(database).SetPeer(heartbeat.Host, observed)
	}
	if c.ahead(heartbeat) {
		if known.newerSince.IsZero() {
			known.newerSince = now
		}
	} else {
		known.newerSince = time.Time{}
	}
	return c.receiveQuestion(known, e)
}

// hostTimeout returns the silence after which a host counts as dead; it is longer where the receivers of heartbeats rotate.
func (c *Controller) hostTimeout() time.Duration {
	return c.Timing.HostTimeout + time.Duration(max(c.rounds()-1, 0))*3*c.Timing.HeartbeatInterval
}

// rounds returns the number of heartbeats after which every host has received one.
func (c *Controller) rounds() int { return (len(c.hosts) + heartbeatFanout - 1) / heartbeatFanout }

// liveHosts returns the IDs of the live hosts in order, this one included.
func (c *Controller) liveHosts(now time.Time) []model.HostID {
	live := []model.HostID{c.Self.ID}
	timeout := c.hostTimeout()
	for id, known := range c.hosts {
		if now.Sub(known.lastHeard) <= timeout && !known.heartbeat.Leaving && known.heartbeat.Sequence > 0 {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// dueHeartbeat marks silent hosts as dead and returns the heartbeat that is due, or nil.
func (c *Controller) dueHeartbeat(now time.Time) Action {
	timeout := c.hostTimeout()
	for id, known := range c.hosts {
		if !known.dead && now.Sub(known.lastHeard) > timeout {
			known.dead = true
			c.membership++
			event.DependencyLost(c.Logger, "host "+string(id), errNoHeartbeat)
			for _, monitor := range c.monitors {
				monitor.Prune(c.liveSet(now))
			}
		}
	}
	pause := time.Duration(c.rounds()) * c.Timing.UrgentInterval
	pause += min(time.Duration(c.directSent)*c.Timing.UrgentInterval/heartbeatFanout, pause) // keeps the rate of datagrams
	urgent := c.urgent && now.Sub(c.lastUrgent) >= pause
	if len(c.hosts) == 0 || (!urgent && now.Sub(c.lastHeartbeat) < c.Timing.HeartbeatInterval) {
		return nil
	}
	if urgent {
		c.urgent = false
		c.lastUrgent = now
		c.directSent = 0
	}
	c.lastHeartbeat = now
	c.sequence++
	receivers := c.receivers(urgent)
	heartbeat := c.newHeartbeat(now)
	c.addLease(&heartbeat)
	to := make([]Receiver, 0, len(receivers))
	for _, id := range receivers {
		to = append(to, c.receiver(id))
	}
	return SendHeartbeat{To: to, Heartbeat: heartbeat}
}

// receiver returns a host as the receiver of a heartbeat.
func (c *Controller) receiver(id model.HostID) Receiver {
	receiver := Receiver{Address: c.hosts[id].Address, Packing: c.hosts[id].heartbeat.Packing}
	if c.lease != nil {
		receiver.Heard = c.lease.Heard(id)
	}
	return receiver
}

// addLease adds the lease part of a heartbeat.
func (c *Controller) addLease(heartbeat *Heartbeat) {
	if c.lease != nil {
		message := c.lease.Compose(c.boot)
		heartbeat.Lease = &message
	}
}

// liveSet returns the live hosts as a set.
func (c *Controller) liveSet(now time.Time) map[model.HostID]bool {
	live := make(map[model.HostID]bool)
	for _, id := range c.liveHosts(now) {
		live[id] = true
	}
	return live
}

// receivers returns the hosts that the next heartbeat is sent to: all hosts in a small fleet or when it is urgent, otherwise the
// next ones in rotation.
func (c *Controller) receivers(urgent bool) (to []model.HostID) {
	ids := slices.Sorted(maps.Keys(c.hosts))
	if len(ids) <= heartbeatFanout || urgent {
		return ids
	}
	for range heartbeatFanout {
		c.lastReceiver = (c.lastReceiver + 1) % len(ids)
		to = append(to, ids[c.lastReceiver])
	}
	return to
}

// newHeartbeat returns the contents of the next heartbeat.
//
// It includes only primaries that some host finds silent, and loads only every loadInterval, which keeps heartbeats small
// while nothing fails.
func (c *Controller) newHeartbeat(now time.Time) Heartbeat {
	d := c.directory.Directory()
	heartbeat := Heartbeat{
		Host:        c.Self.ID,
		Incarnation: c.Self.Incarnation,
		Sequence:    c.sequence,
		Leaving:     c.stopping,
		Version:     d.Version,
		Position:    d.Position,
		Rows:        c.rows,
		Follows:     c.reachesStore(),
		Primaries:   make(map[model.DatabaseID]observation),
	}
	for database, monitor := range c.monitors {
		if monitor.Reports(now) {
			heartbeat.Primaries[database] = monitor.OwnObservation()
		}
	}
	if len(c.hosts) <= heartbeatFanout && now.Sub(c.lastLoads) < loadInterval {
		return heartbeat
	}
	c.lastLoads = now
	heartbeat.Loads = make(map[model.InstanceID]model.Load)
	for id, load := range c.loads {
		if _, known := d.Instances[id]; known && load > minLoad {
			heartbeat.Loads[id] = load
		}
	}
	return heartbeat
}

// ahead reports whether the sender of a heartbeat knows something of the store that this host doesn't.
//
// A position of a later era is ahead of all earlier ones, as the store has come back from an older copy in between. Hosts of the release
// before name no era; theirs is taken for the own one.
//
// Where the platform doesn't fence primaries, each host reads the hosts' rows itself: others wait for it to see a promotion.
func (c *Controller) ahead(heartbeat Heartbeat) bool {
	d := c.directory.Directory()
	return heartbeat.Version > d.Version || heartbeat.Position.After(d.Position) || (c.lease == nil && heartbeat.Rows.After(c.rows))
}

// fetchDelay returns for how long another host has to be ahead before this one fetches from it: the time that the store has to
// deliver the change where this host polls it, otherwise none within the data centre.
func (c *Controller) fetchDelay(known *host) time.Duration {
	switch {
	case c.snapshot.Following != FollowHosts:
		return c.Timing.FetchDelay
	case known.DataCentre != c.Self.DataCentre:
		return c.Timing.RemoteFetchDelay
	}
	return 0
}

// dueFetches returns a fetch from a host that is ahead, preferably in the same data centre.
//
// Changes of instances and rows that follow each other closely are fetched together; a configuration is fetched at once.
func (c *Controller) dueFetches(now time.Time) (actions []Action) {
	recent := now.Sub(c.lastFetch) < c.Timing.FetchDelay
	var best *host
	for _, known := range c.hosts {
		if !c.ahead(known.heartbeat) {
			known.newerSince = time.Time{}
			continue
		}
		if known.fetching {
			return nil // one at a time
		}
		if known.dead || known.newerSince.IsZero() || now.Sub(known.newerSince) < c.fetchDelay(known) ||
			(recent && known.heartbeat.Version <= c.directory.Directory().Version) {
			continue
		}
		sameCentre := known.DataCentre == c.Self.DataCentre
		if best == nil || (sameCentre && best.DataCentre != c.Self.DataCentre) {
			best = known
		}
	}
	if best == nil {
		return nil
	}
	best.fetching = true
	c.lastFetch = now
	return []Action{FetchDirectory{Host: best.ID, Address: best.Address}}
}

// finishFetch processes the result of a FetchDirectory.
func (c *Controller) finishFetch(now time.Time, e DirectoryFetchDone) {
	if known, found := c.hosts[e.Host]; found {
		known.fetching = false
		known.newerSince = now
	}
	if e.Err != nil {
		c.fetchFailed = now
	}
	if e.Update != nil {
		c.updateDirectory(now, *e.Update)
	}
	if e.Membership != nil && e.Membership.Position.After(c.rows) && c.lease == nil {
		c.updateMembership(now, *e.Membership)
	}
}

// dueDeletion returns the deletion of the row of a host that is gone for good; only the first live host deletes rows.
//
// The tokens of tenants' allowances are divided by rows, so that a host that hears only a minority takes longer for that.
func (c *Controller) dueDeletion(now time.Time, live []model.HostID) []Action {
	if live[0] != c.Self.ID {
		return nil
	}
	retention := c.Timing.RowRetention
	if c.directory.Directory().Keyed && 2*len(live) <= len(c.hosts)+1 {
		retention = c.Timing.MinorityRetention
	}
	for id, known := range c.hosts {
		if known.dead && now.Sub(known.lastHeard) > retention && now.Sub(c.started) > retention {
			delete(c.hosts, id)
			c.membership++
			return []Action{DeleteHostRow{Host: id}}
		}
	}
	return nil
}
