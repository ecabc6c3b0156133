package governor

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
	Beat   time.Duration // between two beats
	Urgent time.Duration // between two beats to all hosts, for each beatFan of them
	Silent time.Duration // silence after which a host counts as gone
	Linger time.Duration // for which a gone host's connections still count at the instances
	Fetch  time.Duration // that another host's newer directory may take to come from the store
	Forget time.Duration // silence after which a gone host's row is removed
	Rise   time.Duration // a replaced primary is expected back so long after the order
}

// DefaultTiming returns the times that a host uses.
func DefaultTiming() Timing {
	return Timing{
		Beat:   250 * time.Millisecond,
		Urgent: 25 * time.Millisecond,   // a tenth of a beat, so that a fleet which starts does little else
		Silent: 1200 * time.Millisecond, // four beats
		Linger: 3 * time.Second,         // after which instances drop unreachable connections
		Fetch:  1200 * time.Millisecond, // a change reaches all hosts from the store within this time as a rule
		Forget: time.Minute,
		Rise:   time.Second,
	}
}

// Governor is the control machine of one host; a control.Loop owns it.
type Governor struct {
	// Self is this host.
	Self Host
	// Timing holds the times.
	Timing Timing
	// Failover holds the times of changes of primaries.
	Failover failover.Timing
	// Logger takes the events; it never blocks.
	Logger log.Interface

	book     *directory.Book
	hosts    map[model.HostID]*host
	cases    map[model.DatabaseID]*failover.Monitor
	leads    map[model.DatabaseID]Lead
	changing map[model.DatabaseID]bool
	health   map[model.InstanceID]failover.Health
	loads    map[model.InstanceID]model.Load
	sequence model.Sequence
	beaten   time.Time
	rushed   time.Time // of the newest beat to all hosts
	counted  time.Time // when a beat last told the loads
	started  time.Time
	stopping bool
	enrolled bool // the hosts' rows have been read
	urgent   bool // the next beat does not wait
	round    int
	snapshot *View
}

// host is what is known of another host.
type host struct {
	Host
	beat    Beat
	heard   time.Time
	newer   time.Time // since when it has a newer directory than this host
	fetched bool      // a fetch from it is under way
	dead    bool
}

// New returns a governor with defaults, whose exported fields are to be set before its loop runs.
func New() *Governor {
	return &Governor{
		Timing:   DefaultTiming(),
		Failover: failover.DefaultTiming(),
		book:     directory.New(),
		hosts:    make(map[model.HostID]*host),
		cases:    make(map[model.DatabaseID]*failover.Monitor),
		leads:    make(map[model.DatabaseID]Lead),
		changing: make(map[model.DatabaseID]bool),
		health:   make(map[model.InstanceID]failover.Health),
		loads:    make(map[model.InstanceID]model.Load),
		snapshot: &View{Directory: directory.New().Directory()},
	}
}

// SetGrace sets how long an instance without an entry is still used.
func (g *Governor) SetGrace(grace time.Duration) { g.book.Grace = grace }

// Snapshot returns the newest view.
func (g *Governor) Snapshot() *View { return g.snapshot }

// Handle takes one event and returns the actions that follow.
func (g *Governor) Handle(now time.Time, e Event) (actions []Action) {
	if g.started.IsZero() {
		g.started = now
	}
	switch e := e.(type) {
	case Tick:
		g.observe(e)
	case News:
		g.learn(now, e)
	case Roster:
		g.enrol(now, e)
	case Heard:
		g.hear(now, e)
		if !g.urgent && len(e.Beat.Sights) == 0 {
			return g.fetch(now) // the next tick looks at the rest, so that a beat in a large fleet costs little
		}
	case Fetched:
		g.fetched(now, e)
	case Changed:
		g.changed(now, e)
	case Stop:
		g.stopping = true
		g.urgent = true
	case Acted:
		return nil
	}
	live := g.live(now)
	actions = append(actions, g.govern(now, live)...)
	actions = append(actions, g.fetch(now)...)
	actions = append(actions, g.forget(now, live)...)
	if beat := g.beat(now); beat != nil {
		actions = append(actions, beat)
	}
	g.publish(now, live)
	return actions
}

// observe takes what traffic saw.
func (g *Governor) observe(tick Tick) {
	clear(g.health)
	for _, report := range tick.Health {
		g.health[report.Instance] = report.Health
		g.loads[report.Instance] = report.Load
	}
}

// learn takes news of the directory.
func (g *Governor) learn(now time.Time, news News) {
	before := g.book.Directory()
	configured := news.Configuration != nil && g.book.Configure(*news.Configuration)
	changed := false
	if news.Whole {
		changed = g.book.Replace(now, news.Revision, news.Entries)
	} else {
		changed = g.book.Change(now, news.Revision, news.Entries)
	}
	if !configured && !changed {
		return
	}
	after := g.book.Directory()
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
		case instance.Born != known.Born:
			event.InstanceChanged(g.Logger, id, instance.Database, "started anew")
		}
	}
}

// members returns the instances of each database.
func members(d *directory.Directory) map[model.DatabaseID][]failover.Member {
	all := make(map[model.DatabaseID][]failover.Member)
	for _, instance := range d.Instances {
		all[instance.Database] = append(all[instance.Database], failover.Member{
			Instance:      instance.ID,
			ClaimsPrimary: instance.Role == model.RolePrimary,
			Leaving:       instance.Leaving,
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

// govern decides on each database's primary.
func (g *Governor) govern(now time.Time, live []model.HostID) (actions []Action) {
	for _, id := range g.book.Expire(now) {
		event.InstanceChanged(g.Logger, id, "", "is gone")
	}
	var probes []model.InstanceID
	all := members(g.book.Directory())
	for _, database := range slices.Sorted(maps.Keys(all)) {
		list := all[database]
		c := g.watch(database)
		if changed, reason := c.UpdatePrimary(now, list, g.health); changed {
			sight := c.Observation()
			event.PrimaryBelieved(g.Logger, database, sight.Instance, sight.Term, string(sight.State), reason)
			g.urgent = true
		}
		probes = append(probes, c.DueProbes(now, len(g.hosts), list, g.health)...)
		if action := g.judge(now, live, database, c, list); action != nil {
			actions = append(actions, action)
		}
	}
	if len(probes) > 0 {
		actions = append(actions, Probe{Instances: probes})
	}
	return actions
}

// watch returns the case of a database.
func (g *Governor) watch(database model.DatabaseID) *failover.Monitor {
	c, found := g.cases[database]
	if !found {
		c = failover.New(g.Failover)
		g.cases[database] = c
	}
	return c
}

// judge returns the change of a database's primary that is due, or nil.
func (g *Governor) judge(now time.Time, live []model.HostID, database model.DatabaseID, c *failover.Monitor, list []failover.Member) Action {
	if g.changing[database] || g.stopping {
		return nil
	}
	verdict, count, reason := c.Decide(now, g.Self.ID, live, list)
	if verdict == failover.Keep {
		return nil
	}
	sight := c.Observation()
	event.PrimaryJudged(g.Logger, database, sight.Instance, count.Silent, count.Leading, count.Live, reason)
	g.changing[database] = true
	d := g.book.Directory()
	change := Change{
		Database: database,
		Primary:  d.Instances[sight.Instance],
		Demote:   verdict == failover.Switchover,
		Lead:     g.leads[database],
		Since:    sight.Since,
		Reason:   reason,
	}
	for _, member := range list {
		if member.Instance != sight.Instance && !g.book.Missing(member.Instance) {
			change.Replicas = append(change.Replicas, d.Instances[member.Instance])
		}
	}
	return change
}

// changed takes the end of a change of a primary.
func (g *Governor) changed(now time.Time, e Changed) {
	delete(g.changing, e.Database)
	if e.Lead != nil {
		g.lead(now, *e.Lead)
	}
	if e.Err != nil {
		event.PromotionFailed(g.Logger, e.Database, e.Instance, g.leads[e.Database].Token, e.Err)
	}
}

// lead takes the row of a promotion.
func (g *Governor) lead(now time.Time, lead Lead) {
	if known := g.leads[lead.Database]; known.Token > lead.Token {
		return
	}
	g.leads[lead.Database] = lead
	g.watch(lead.Database).RecordPromotion(now, lead.Promotion)
}

// publish makes a new view when something in it has changed.
func (g *Governor) publish(now time.Time, live []model.HostID) {
	next := &View{
		Directory: g.book.Directory(),
		Primaries: make(map[model.DatabaseID]Primary, len(g.cases)),
		Shares:    g.shares(now),
		Hosts:     len(live),
		Ready:     g.book.Directory().Known() && !g.stopping,
	}
	for database, c := range g.cases {
		next.Primaries[database] = g.primary(c)
	}
	old := g.snapshot
	if old.Directory == next.Directory && old.Hosts == next.Hosts && old.Ready == next.Ready &&
		maps.Equal(old.Primaries, next.Primaries) && maps.Equal(old.Shares, next.Shares) {
		return
	}
	g.snapshot = next
}

// primary returns what traffic is told of a primary.
func (g *Governor) primary(c *failover.Monitor) Primary {
	sight := c.Observation()
	primary := Primary{Instance: sight.Instance, State: sight.State}
	if sight.State == failover.Silent {
		primary.Back = sight.Since.Add(2*g.Failover.SilenceTimeout + g.Timing.Rise)
	}
	if back := c.PromotedAt().Add(g.Timing.Rise); sight.State != failover.Leading && !c.PromotedAt().IsZero() && back.After(primary.Back) {
		primary.Back = back
	}
	return primary
}
