package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// Timing holds the times of control.
type Timing struct {
	HeartbeatInterval time.Duration // between two beats
	UrgentInterval    time.Duration // between two beats to all hosts, for each beatFan of them
	HostTimeout       time.Duration // silence after which a host counts as gone
	Linger            time.Duration // for which a gone host's connections still count at the instances
	FetchDelay        time.Duration // that another host's newer directory may take to come from the store
	RowRetention      time.Duration // silence after which a gone host's row is removed
	PromotionTime     time.Duration // a replaced primary is expected back so long after the order
}

// DefaultTiming returns the times that a host uses.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 250 * time.Millisecond,
		UrgentInterval:    25 * time.Millisecond,   // a tenth of a beat, so that a fleet which starts does little else
		HostTimeout:       1200 * time.Millisecond, // four beats
		Linger:            3 * time.Second,         // after which instances drop unreachable connections
		FetchDelay:        1200 * time.Millisecond, // a change reaches all hosts from the store within this time as a rule
		RowRetention:      time.Minute,
		PromotionTime:     time.Second,
	}
}

// Controller is the control machine of one host; a control.Loop owns it.
type Controller struct {
	// Self is this host.
	Self Host
	// Timing holds the times.
	Timing Timing
	// Failover holds the times of changes of primaries.
	Failover failover.Timing
	// Logger takes the events; it never blocks.
	Logger log.Interface

	directory     *directory.Tracker
	hosts         map[model.HostID]*host
	cases         map[model.DatabaseID]*failover.Case
	promotions    map[model.DatabaseID]Promotion
	changing      map[model.DatabaseID]bool
	health        map[model.InstanceID]failover.Health
	loads         map[model.InstanceID]model.Load
	sequence      model.Sequence
	lastHeartbeat time.Time
	lastUrgent    time.Time // of the newest beat to all hosts
	lastLoads     time.Time // when a beat last told the loads
	started       time.Time
	stopping      bool
	hostsRead     bool // the hosts' rows have been read
	urgent        bool // the next beat does not wait
	nextReceiver  int
	snapshot      *View
}

// host is what is known of another host.
type host struct {
	Host
	heartbeat  Heartbeat
	lastHeard  time.Time
	newerSince time.Time // since when it has a newer directory than this host
	fetching   bool      // a fetch from it is under way
	dead       bool
}

// New returns a governor with defaults, whose exported fields are to be set before its loop runs.
func New() *Controller {
	return &Controller{
		Timing:     DefaultTiming(),
		Failover:   failover.DefaultTiming(),
		directory:  directory.NewTracker(),
		hosts:      make(map[model.HostID]*host),
		cases:      make(map[model.DatabaseID]*failover.Case),
		promotions: make(map[model.DatabaseID]Promotion),
		changing:   make(map[model.DatabaseID]bool),
		health:     make(map[model.InstanceID]failover.Health),
		loads:      make(map[model.InstanceID]model.Load),
		snapshot:   &View{Directory: directory.NewTracker().Directory()},
	}
}

// SetGrace sets how long an instance without an entry is still used.
func (g *Controller) SetGrace(grace time.Duration) { g.directory.Grace = grace }

// Snapshot returns the newest view.
func (g *Controller) Snapshot() *View { return g.snapshot }

// Handle takes one event and returns the actions that follow.
func (g *Controller) Handle(now time.Time, e Event) (actions []Action) {
	if g.started.IsZero() {
		g.started = now
	}
	switch e := e.(type) {
	case Tick:
		g.setHealth(e)
	case DirectoryUpdate:
		g.updateDirectory(now, e)
	case MembershipUpdate:
		g.updateMembership(now, e)
	case HeartbeatReceived:
		g.receiveHeartbeat(now, e)
		if !g.urgent && len(e.Heartbeat.Primaries) == 0 {
			return g.dueFetches(now) // the next tick looks at the rest, so that a beat in a large fleet costs little
		}
	case DirectoryFetchDone:
		g.finishFetch(now, e)
	case PrimaryChangeDone:
		g.finishChange(now, e)
	case Stop:
		g.stopping = true
		g.urgent = true
	case ActionDone:
		return nil
	}
	live := g.liveHosts(now)
	actions = append(actions, g.checkPrimaries(now, live)...)
	actions = append(actions, g.dueFetches(now)...)
	actions = append(actions, g.dueDeletion(now, live)...)
	if beat := g.dueHeartbeat(now); beat != nil {
		actions = append(actions, beat)
	}
	g.publish(now, live)
	return actions
}

// setHealth takes what traffic saw.
func (g *Controller) setHealth(tick Tick) {
	clear(g.health)
	for _, report := range tick.Instances {
		g.health[report.Instance] = report.Health
		g.loads[report.Instance] = report.Load
	}
}

// updateDirectory takes news of the directory.
func (g *Controller) updateDirectory(now time.Time, news DirectoryUpdate) {
	before := g.directory.Directory()
	configured := news.Configuration != nil && g.directory.SetConfiguration(*news.Configuration)
	changed := false
	if news.Full {
		changed = g.directory.Replace(now, news.Revision, news.Entries)
	} else {
		changed = g.directory.Apply(now, news.Revision, news.Entries)
	}
	if !configured && !changed {
		return
	}
	after := g.directory.Directory()
	event.DirectoryInForce(g.Logger, after.Version, after.Revision, len(after.Kinds), len(after.Instances), news.Source)
	g.urgent = true
	for id, instance := range after.Instances {
		known, found := before.Instances[id]
		switch {
		case !found:
			event.InstanceChanged(g.Logger, id, instance.Database, "appeared")
		case instance.Leaving && !known.Leaving:
			event.InstanceChanged(g.Logger, id, instance.Database, "leaves")
		case instance.Role != known.Role:
			event.InstanceChanged(g.Logger, id, instance.Database, "is "+string(instance.Role))
		case instance.Incarnation != known.Incarnation:
			event.InstanceChanged(g.Logger, id, instance.Database, "started anew")
		}
	}
}

// members returns the instances of each database.
func members(d *directory.Directory) map[model.DatabaseID][]failover.Member {
	all := make(map[model.DatabaseID][]failover.Member)
	for _, instance := range d.Instances {
		all[instance.Database] = append(all[instance.Database], failover.Member{
			Instance: instance.ID,
			Claims:   instance.Role == model.RolePrimary,
			Leaving:  instance.Leaving,
		})
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b failover.Member) int { return compare(a.Instance, b.Instance) })
	}
	return all
}

// compare orders names.
func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// checkPrimaries decides on each database's primary.
func (g *Controller) checkPrimaries(now time.Time, live []model.HostID) (actions []Action) {
	for _, id := range g.directory.Expire(now) {
		event.InstanceChanged(g.Logger, id, "", "is gone")
	}
	var probes []model.InstanceID
	all := members(g.directory.Directory())
	for _, database := range slices.Sorted(maps.Keys(all)) {
		list := all[database]
		c := g.caseOf(database)
		if changed, reason := c.Believe(now, list, g.health); changed {
			sight := c.Sight()
			event.PrimaryBelieved(g.Logger, database, sight.Instance, sight.Term, string(sight.State), reason)
			g.urgent = true
		}
		probes = append(probes, c.Probes(now, len(g.hosts), list, g.health)...)
		if action := g.dueChange(now, live, database, c, list); action != nil {
			actions = append(actions, action)
		}
	}
	if len(probes) > 0 {
		actions = append(actions, ProbeInstances{Instances: probes})
	}
	return actions
}

// caseOf returns the case of a database.
func (g *Controller) caseOf(database model.DatabaseID) *failover.Case {
	c, found := g.cases[database]
	if !found {
		c = failover.New(g.Failover)
		g.cases[database] = c
	}
	return c
}

// dueChange returns the change of a database's primary that is due, or nil.
func (g *Controller) dueChange(now time.Time, live []model.HostID, database model.DatabaseID, c *failover.Case, list []failover.Member) Action {
	if g.changing[database] || g.stopping {
		return nil
	}
	verdict, count, reason := c.Judge(now, g.Self.ID, live, list)
	if verdict == failover.Keep {
		return nil
	}
	sight := c.Sight()
	event.PrimaryJudged(g.Logger, database, sight.Instance, count.Silent, count.Led, count.Live, reason)
	g.changing[database] = true
	d := g.directory.Directory()
	change := ChangePrimary{
		Database:  database,
		Primary:   d.Instances[sight.Instance],
		Demote:    verdict == failover.Move,
		Promotion: g.promotions[database],
		Since:     sight.Since,
		Reason:    reason,
	}
	for _, member := range list {
		if member.Instance != sight.Instance && !g.directory.Missing(member.Instance) {
			change.Replicas = append(change.Replicas, d.Instances[member.Instance])
		}
	}
	return change
}

// finishChange takes the end of a change of a primary.
func (g *Controller) finishChange(now time.Time, e PrimaryChangeDone) {
	delete(g.changing, e.Database)
	if e.Promotion != nil {
		g.setPromotion(now, *e.Promotion)
	}
	if e.Err != nil {
		event.PromotionFailed(g.Logger, e.Database, e.Instance, g.promotions[e.Database].Token, e.Err)
	}
}

// setPromotion takes the row of a promotion.
func (g *Controller) setPromotion(now time.Time, lead Promotion) {
	if known := g.promotions[lead.Database]; known.Token > lead.Token {
		return
	}
	g.promotions[lead.Database] = lead
	g.caseOf(lead.Database).Learn(now, lead.Lead)
}

// publish makes a new view when something in it has changed.
func (g *Controller) publish(now time.Time, live []model.HostID) {
	next := &View{
		Directory: g.directory.Directory(),
		Primaries: make(map[model.DatabaseID]Primary, len(g.cases)),
		Shares:    g.shares(now),
		LiveHosts: len(live),
		Ready:     g.directory.Directory().Usable() && !g.stopping,
	}
	for database, c := range g.cases {
		next.Primaries[database] = g.primaryView(c)
	}
	old := g.snapshot
	if old.Directory == next.Directory && old.LiveHosts == next.LiveHosts && old.Ready == next.Ready &&
		maps.Equal(old.Primaries, next.Primaries) && maps.Equal(old.Shares, next.Shares) {
		return
	}
	g.snapshot = next
}

// primaryView returns what traffic is told of a primary.
func (g *Controller) primaryView(c *failover.Case) Primary {
	sight := c.Sight()
	primary := Primary{Instance: sight.Instance, State: sight.State}
	if sight.State == failover.Silent {
		primary.ExpectedBack = sight.Since.Add(2*g.Failover.Confirm + g.Timing.PromotionTime)
	}
	if back := c.Ordered().Add(g.Timing.PromotionTime); sight.State != failover.Led && !c.Ordered().IsZero() && back.After(primary.ExpectedBack) {
		primary.ExpectedBack = back
	}
	return primary
}
