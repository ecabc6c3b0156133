package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

// Timing holds the intervals and time limits of the controller.
type Timing struct {
	HeartbeatInterval time.Duration // between two heartbeats
	UrgentInterval    time.Duration // least time between two urgent heartbeats, for every heartbeatFanout hosts in the fleet
	HostTimeout       time.Duration // silence after which a host counts as dead
	Linger            time.Duration // time for which a dead host's connections still count towards an instance's limit
	FetchDelay        time.Duration // time that the store has to deliver a directory which another host already has, and between two fetches
	RemoteFetchDelay  time.Duration // time after which a host that doesn't poll the store fetches from another data centre
	RowRetention      time.Duration // silence after which a dead host's row is deleted
	MinorityRetention time.Duration // the same by a host that hears only a minority, where tenants have allowances
	PromotionTime     time.Duration // expected time from the order to the end of a promotion
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 250 * time.Millisecond,
		UrgentInterval:    25 * time.Millisecond,   // a tenth of a heartbeat interval, so that urgent heartbeats don't dominate while a fleet starts
		HostTimeout:       1200 * time.Millisecond, // more than four heartbeat intervals
		Linger:            3 * time.Second,         // time after which instances drop unreachable connections
		FetchDelay:        1200 * time.Millisecond, // usual time for a change to reach all hosts from the store
		RemoteFetchDelay:  300 * time.Millisecond,  // heartbeats of hosts in the own data centre arrive meanwhile
		RowRetention:      time.Minute,
		MinorityRetention: 2 * time.Minute, // the hosts that it doesn't hear may run and grant tokens
		PromotionTime:     time.Second,
	}
}

// Controller is the state machine that controls one host; it is owned by a control.Loop.
type Controller struct {
	// Self is this host.
	Self Host
	// Timing holds the intervals and time limits.
	Timing Timing
	// Failover holds the timing of failover decisions.
	Failover failover.Timing
	// Regions maps data centres to their regions.
	Regions map[model.DataCentreID]model.RegionID
	// Unfenced is set where the platform doesn't stop a primary when it promotes another instance.
	Unfenced bool
	// Logger receives log events; it never blocks.
	Logger log.Interface

	directory     *directory.Tracker
	hosts         map[model.HostID]*host
	monitors      map[model.DatabaseID]*failover.Monitor
	promotions    map[model.DatabaseID]Promotion
	changing      map[model.DatabaseID]bool        // databases whose primary this host is changing
	claims        map[model.DatabaseID]model.Token // token of this host's newest promotion of each database
	health        map[model.InstanceID]failover.Health
	loads         map[model.InstanceID]model.Load
	sequence      model.Sequence
	lastHeartbeat time.Time
	lastUrgent    time.Time // time of the last urgent heartbeat
	directSent    int       // heartbeats sent to single hosts since then
	lastLoads     time.Time // time of the last heartbeat that carried loads
	started       time.Time
	stopping      bool
	aloneSince    time.Time    // time since which this host hears none of the others; zero while it hears one
	hostsRead     bool         // all hosts' rows have been read once
	urgent        bool         // the next heartbeat is sent early and to all hosts
	lastReceiver  int          // index of the last receiver in the rotation over the sorted hosts
	lease         *lease.State // nil where the platform fences primaries
	boot          model.Instant
	bootStarted   model.Instant // boot at the first tick
	leaseRead     bool          // a ReadPromotions is running
	lastLeaseRead model.Instant // time of the newest ReadPromotions
	scouts        *scout.State
	crowded       bool // there are more hosts than an instance has connections
	membership    int  // counts the changes of the known hosts and their data centres
	homes         homes
	rows          model.StorePosition // of the hosts' rows
	known         *Membership         // that other hosts can fetch
	storeLost     bool                // a poll of the store has failed and none has succeeded since
	followerHeard time.Time           // when a host was heard last that reaches the store
	fetchFailed   time.Time           // when a fetch from another host failed last
	lastFetch     time.Time
	fleet         *Fleet
	fleetIDs      []model.HostID // live hosts of fleet
	fleetChanges  int            // membership of fleet
	snapshot      *View
}

// host is the state of another host.
type host struct {
	Host
	heartbeat  Heartbeat
	lastHeard  time.Time
	newerSince time.Time // since when its directory is newer than this host's; zero when it isn't
	fetching   bool      // a directory fetch from it is running
	dead       bool
}

// New returns a controller with defaults; its exported fields have to be set before its loop runs.
func New() *Controller {
	return &Controller{
		Timing:     DefaultTiming(),
		Failover:   failover.DefaultTiming(),
		directory:  directory.NewTracker(),
		hosts:      make(map[model.HostID]*host),
		monitors:   make(map[model.DatabaseID]*failover.Monitor),
		promotions: make(map[model.DatabaseID]Promotion),
		changing:   make(map[model.DatabaseID]bool),
		claims:     make(map[model.DatabaseID]model.Token),
		health:     make(map[model.InstanceID]failover.Health),
		loads:      make(map[model.InstanceID]model.Load),
		scouts:     scout.New(),
		snapshot:   &View{Directory: directory.NewTracker().Directory()},
	}
}

// SetGrace sets how long an instance stays in use after its entry disappears.
func (c *Controller) SetGrace(grace time.Duration) { c.directory.Grace = grace }

// Snapshot returns the current view.
func (c *Controller) Snapshot() *View { return c.snapshot }

// Handle processes one event and returns the resulting actions.
func (c *Controller) Handle(now time.Time, e Event) (actions []Action) {
	if c.started.IsZero() {
		c.started = now
		c.startLease()
		c.lastReceiver = int(xxhash.Sum64String(string(c.Self.ID)) >> 1) // hosts that start together don't all send to the same ones
		c.scouts.Self = scout.Host{ID: c.Self.ID, DataCentre: c.Self.DataCentre}
	}
	switch e := e.(type) {
	case Tick:
		c.storeLost = e.StoreLost
		c.setHealth(e)
		c.updateLease(e)
		actions = append(actions, c.askScout(e, now)...)
	case DirectoryUpdate:
		c.updateDirectory(now, e)
	case MembershipUpdate:
		c.updateMembership(now, e)
	case HeartbeatReceived:
		actions = append(actions, c.receiveHeartbeat(now, e)...)
		if !c.urgent && len(e.Heartbeat.Primaries) == 0 {
			return append(actions, c.dueFetches(now)...) // the next tick does the rest, which keeps heartbeats cheap in a large fleet
		}
	case DirectoryFetchDone:
		c.finishFetch(now, e)
	case PrimaryChangeDone:
		c.finishChange(now, e)
	case PromotionClaimed:
		c.claimed(now, e)
	case PromotionsRead:
		c.finishLeaseRead(now, e)
	case Stop:
		c.stopping = true
		c.membership++
		c.urgent = true
	case ActionDone:
		return nil
	}
	live := c.liveHosts(now)
	c.updateAlone(now, live)
	actions = append(actions, c.checkPrimaries(now, live)...)
	actions = append(actions, c.dueFetches(now)...)
	actions = append(actions, c.dueDeletion(now, live)...)
	if read := c.dueLeaseRead(); read != nil {
		actions = append(actions, read)
	}
	if heartbeat := c.dueHeartbeat(now); heartbeat != nil {
		actions = append(actions, heartbeat)
	}
	c.publish(now, live)
	return actions
}

// updateAlone records since when this host hears none of the others.
func (c *Controller) updateAlone(now time.Time, live []model.HostID) {
	switch {
	case len(live) > 1 || len(c.hosts) == 0:
		c.aloneSince = time.Time{}
	case c.aloneSince.IsZero():
		c.aloneSince = now
	}
}

// setHealth replaces the health and updates the loads of the instances.
func (c *Controller) setHealth(tick Tick) {
	clear(c.health)
	for _, report := range tick.Instances {
		c.health[report.Instance] = report.Health
		c.loads[report.Instance] = report.Load
	}
}

// updateDirectory applies a directory update and logs what changed.
func (c *Controller) updateDirectory(now time.Time, update DirectoryUpdate) {
	before := c.directory.Directory()
	configured := update.Configuration != nil && c.directory.SetConfiguration(*update.Configuration)
	changed := false
	if update.Full {
		changed = c.directory.Replace(now, update.Position, update.Entries)
	} else {
		changed = c.directory.Apply(now, update.Position, update.Entries)
	}
	c.directory.Advance(update.Newest)
	if !configured && !changed {
		return
	}
	after := c.directory.Directory()
	event.DirectoryInForce(c.Logger, after.Version, after.Position.Era, after.Position.Revision, len(after.Kinds), len(after.Instances), update.Source)
	c.urgent = c.urgent || c.snapshot.Following != FollowHosts // the others hear of it from the hosts that poll the store
	for id, instance := range after.Instances {
		known, found := before.Instances[id]
		switch {
		case !found:
			event.InstanceChanged(c.Logger, id, instance.Database, "appeared")
		case instance.Leaving && !known.Leaving:
			event.InstanceChanged(c.Logger, id, instance.Database, "leaves")
		case instance.Role != known.Role:
			event.InstanceChanged(c.Logger, id, instance.Database, "is "+string(instance.Role))
		case instance.Incarnation != known.Incarnation:
			event.InstanceChanged(c.Logger, id, instance.Database, "restarted")
		}
	}
}

// membersByDatabase returns the instances of each configured database, sorted by ID; missing reports whether an instance has no entry.
func membersByDatabase(d *directory.Directory, missing func(model.InstanceID) bool) map[model.DatabaseID][]failover.Member {
	all := make(map[model.DatabaseID][]failover.Member)
	for _, instance := range d.Instances {
		if _, configured := d.Databases[instance.Database]; !configured {
			continue // another writer's entry, or one that is ahead of the configuration
		}
		all[instance.Database] = append(all[instance.Database], failover.Member{
			Instance:      instance.ID,
			ClaimsPrimary: instance.Role == model.RolePrimary,
			Leaving:       instance.Leaving,
			Missing:       missing(instance.ID),
		})
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b failover.Member) int { return compare(a.Instance, b.Instance) })
	}
	return all
}

// compare returns -1, 0 or 1 as a sorts before, equal to or after b.
func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// checkPrimaries reassesses the primary of each database and returns the probes and changes that are due.
func (c *Controller) checkPrimaries(now time.Time, live []model.HostID) (actions []Action) {
	for _, id := range c.directory.Expire(now) {
		event.InstanceChanged(c.Logger, id, "", "is gone")
	}
	var probes []model.InstanceID
	byDatabase := membersByDatabase(c.directory.Directory(), c.directory.Missing)
	for _, database := range slices.Sorted(maps.Keys(byDatabase)) {
		members := byDatabase[database]
		monitor := c.monitorOf(database)
		monitor.VoteMaxAge = c.hostTimeout()
		if changed, reason := monitor.UpdatePrimary(now, members, c.health); changed {
			observation := monitor.Observation()
			event.PrimaryBelieved(c.Logger, database, observation.Instance, observation.Term, string(observation.State), reason)
			c.urgent = true
		}
		c.urgent = c.urgent || monitor.Objects(now)
		probes = append(probes, monitor.DueProbes(now, len(c.hosts), c.idleProbeInterval(), members, c.health)...)
		if action := c.dueChange(now, live, database, monitor, members); action != nil {
			actions = append(actions, action)
		}
	}
	if len(probes) > 0 {
		actions = append(actions, ProbeInstances{Instances: probes})
	}
	return actions
}

// monitorOf returns the failover monitor of a database, which it creates if needed.
func (c *Controller) monitorOf(database model.DatabaseID) *failover.Monitor {
	monitor, found := c.monitors[database]
	if !found {
		monitor = failover.New(c.Failover)
		monitor.Unfenced = c.Unfenced
		c.monitors[database] = monitor
	}
	return monitor
}

// dueChange returns the change of a database's primary that this host is to carry out now, or nil.
func (c *Controller) dueChange(now time.Time, live []model.HostID, database model.DatabaseID, monitor *failover.Monitor, members []failover.Member) Action {
	if c.changing[database] || c.stopping {
		return nil
	}
	monitor.ReleaseTime = c.releaseTime()
	monitor.Observers = nil
	if monitor.Reports(now) {
		monitor.Observers = c.observersOf(now, database, monitor.Observation().Instance)
	}
	verdict, count, reason := monitor.Decide(now, c.Self.ID, live, len(c.hosts)+1, members)
	if verdict == failover.Keep {
		return nil
	}
	observation := monitor.Observation()
	event.PrimaryJudged(c.Logger, database, observation.Instance, count.Silent, count.Leading, count.Observing, count.Live, reason)
	c.changing[database] = true
	d := c.directory.Directory()
	change := ChangePrimary{
		Database:  database,
		Primary:   d.Instances[observation.Instance],
		Sync:      d.Databases[database].SyncCommit,
		Demote:    verdict == failover.Switchover,
		Promotion: c.promotions[database],
		Since:     observation.Since,
		Reason:    reason,
		Release:   c.releaseTime(),
	}
	responds := verdict == failover.Failover && c.respondsAsReplica(observation.Instance)
	change.Demoted = responds && c.health[observation.Instance].Proved().After(monitor.PromotedAt())
	for _, member := range members {
		if member.Instance != observation.Instance || responds {
			change.Replicas = append(change.Replicas, d.Instances[member.Instance])
		}
	}
	return change
}

// respondsAsReplica reports whether the primary to replace says that it is a replica. One that was demoted holds every commit, and
// one whose promotion got no answer may still be promoted by that order, so the instance stays a candidate.
func (c *Controller) respondsAsReplica(primary model.InstanceID) bool {
	health := c.health[primary]
	return health.SilentSince.IsZero() && health.LastRefusal.After(health.Proved())
}

// finishChange processes the result of a ChangePrimary.
func (c *Controller) finishChange(now time.Time, e PrimaryChangeDone) {
	delete(c.changing, e.Database)
	if c.lease != nil {
		c.lease.End(e.Database)
	}
	if e.Promotion != nil {
		c.setPromotion(now, *e.Promotion)
	}
	if e.Err != nil {
		event.PromotionFailed(c.Logger, e.Database, e.Instance, c.promotions[e.Database].Token, e.Err)
	}
}

// setPromotion records a promotion unless a newer one is known.
func (c *Controller) setPromotion(now time.Time, promotion Promotion) {
	if known := c.promotions[promotion.Database]; known.Token > promotion.Token {
		return
	}
	if c.promotions[promotion.Database] != promotion {
		c.promotions[promotion.Database] = promotion
		c.known = nil // it has the promotions too
	}
	if c.lease != nil && c.lease.Assign(c.boot, lease.Assignment{Database: promotion.Database, Instance: promotion.Instance, Token: promotion.Token}) {
		c.urgent = true
	}
	c.monitorOf(promotion.Database).RecordPromotion(now, promotion.Promotion)
}

// publish replaces the view when its contents have changed.
func (c *Controller) publish(now time.Time, live []model.HostID) {
	next := &View{
		Directory: c.directory.Directory(),
		Primaries: make(map[model.DatabaseID]Primary, len(c.monitors)),
		Shares:    c.shares(now),
		LiveHosts: len(live),
		Ready:     c.directory.Directory().Usable() && !c.stopping,
		Lease:     c.leaseEnd(),

		SettledBy:  c.settledBy(),
		Following:  c.following(now, live),
		Membership: c.updateKnown(),
		Fleet:      c.updateFleet(live),
	}
	for database, monitor := range c.monitors {
		next.Primaries[database] = c.primaryView(now, database, monitor)
	}
	old := c.snapshot
	if old.Directory == next.Directory && old.LiveHosts == next.LiveHosts && old.Ready == next.Ready && old.Lease == next.Lease &&
		old.SettledBy == next.SettledBy && old.Following == next.Following && old.Membership == next.Membership && old.Fleet == next.Fleet &&
		maps.Equal(old.Primaries, next.Primaries) && maps.Equal(old.Shares, next.Shares) {
		return
	}
	c.snapshot = next
}

// updateFleet replaces the fleet when the hosts that this one hears have changed.
func (c *Controller) updateFleet(live []model.HostID) *Fleet {
	if !c.hostsRead || (c.fleet != nil && c.fleetChanges == c.membership && slices.Equal(c.fleetIDs, live)) {
		return c.fleet
	}
	c.fleet = &Fleet{All: []Host{c.Self}}
	for _, known := range c.hosts {
		c.fleet.All = append(c.fleet.All, known.Host)
	}
	c.fleetIDs, c.fleetChanges = slices.Clone(live), c.membership
	for _, id := range live {
		switch known, found := c.hosts[id]; {
		case found:
			c.fleet.Live = append(c.fleet.Live, known.Host)
		case id == c.Self.ID && !c.stopping:
			c.fleet.Live = append(c.fleet.Live, c.Self)
		}
	}
	return c.fleet
}

// primaryView returns the state of a primary for the view.
//
// A host that has heard none of the others for the isolated timeout can't tell whether they change a primary, and expects no change.
// After a pause of its own it hears none for a moment.
func (c *Controller) primaryView(now time.Time, database model.DatabaseID, monitor *failover.Monitor) Primary {
	observation := monitor.Observation()
	primary := Primary{Instance: observation.Instance, State: observation.State}
	if observation.State == failover.Silent {
		primary.ExpectedBack = observation.Since.Add(2*c.Failover.SilenceTimeout + c.Timing.PromotionTime)
	}
	if back := monitor.PromotedAt().Add(c.Timing.PromotionTime); observation.State != failover.Leading && !monitor.PromotedAt().IsZero() && back.After(primary.ExpectedBack) {
		primary.ExpectedBack = back
	}
	inTouch := c.aloneSince.IsZero() || now.Sub(c.aloneSince) < c.Failover.IsolatedTimeout
	primary.Changing = c.changing[database] || (inTouch && monitor.Changing(now, c.health))
	if c.lease != nil {
		primary.Assigned = c.lease.Assigned(database)
		primary.Cleared = c.lease.Cleared(c.boot, database)
	}
	return primary
}
