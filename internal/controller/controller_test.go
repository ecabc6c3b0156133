package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

// fleet is a set of controllers on one clock; heartbeats arrive at once unless a host is isolated.
type fleet struct {
	now         time.Time
	controllers map[model.HostID]*Controller
	isolated    map[model.HostID]bool                                              // hosts whose heartbeats, in both directions, are lost
	health      func(host model.HostID, instance model.InstanceID) failover.Health // what a host observes of an instance
	loads       map[model.HostID]model.Load
	rows        func() *MembershipUpdate     // rows that the store returns to a ReadPromotions; it fails when nil
	inUse       map[model.HostID]bool        // hosts whose statements on the first instance never end
	changes     []ChangePrimary              // ordered by any host
	changedBy   []model.HostID               // host that ordered each of the changes, by index
	datagrams   map[model.HostID]int         // sent by each host
	probes      map[model.HostID]int         // instances probed by each host
	observed    map[model.HostID]scout.Proof // newest proof of the first instance that each host got from another one
	proofs      map[model.HostID]scout.Proof // newest proof of the first instance by a probe of each host
	storeLost   map[model.HostID]bool        // hosts that don't reach the store
	fetches     map[model.HostID]int         // directories fetched by each host
	fetchFails  map[model.HostID]bool        // hosts whose fetches fail
}

// tick is the interval between two Tick events.
const tick = 50 * time.Millisecond

// newFleet returns a fleet with a database of three instances, the first of which is the primary.
func newFleet(hosts int, connections model.Connections) *fleet {
	f := &fleet{
		now:         time.Unix(1000, 0),
		controllers: make(map[model.HostID]*Controller),
		isolated:    make(map[model.HostID]bool),
		loads:       make(map[model.HostID]model.Load),
		datagrams:   make(map[model.HostID]int),
		probes:      make(map[model.HostID]int),
		observed:    make(map[model.HostID]scout.Proof),
		proofs:      make(map[model.HostID]scout.Proof),
		storeLost:   make(map[model.HostID]bool),
		fetches:     make(map[model.HostID]int),
		fetchFails:  make(map[model.HostID]bool),
	}
	f.health = func(model.HostID, model.InstanceID) failover.Health { return failover.Health{} }
	var membership MembershipUpdate
	for i := range hosts {
		id := model.HostID(fmt.Sprintf("h%02d", i))
		c := New()
		c.SetGrace(3500 * time.Millisecond)
		c.Self = Host{ID: id, Address: model.Address(id), DataCentre: "east", Incarnation: 1}
		c.Logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		f.controllers[id] = c
		membership.Hosts = append(membership.Hosts, c.Self)
	}
	membership.Full = true
	update := DirectoryUpdate{Source: "store", Position: model.StorePosition{Revision: 9}, Full: true, Configuration: &directory.Configuration{
		Version:   3,
		Kinds:     []model.Kind{{ID: "desk", Database: "seats"}},
		Databases: []model.Database{{ID: "seats", Connections: connections}},
	}}
	for i, role := range []model.Role{model.RolePrimary, model.RoleReplica, model.RoleReplica} {
		update.Entries = append(update.Entries, directory.Entry{Instance: directory.Instance{
			Instance: model.Instance{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Database: "seats"},
			Role:     role, Slots: 2, Position: model.StorePosition{Revision: model.Revision(i + 1)},
		}})
	}
	for _, id := range f.hosts() {
		f.handle(id, membership)
		f.handle(id, update)
	}
	return f
}

// hosts returns the IDs of all hosts in order.
func (f *fleet) hosts() (ids []model.HostID) {
	for id := range f.controllers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// handle passes an event to a host's controller, delivers heartbeats and records the other effects.
func (f *fleet) handle(id model.HostID, e Event) {
	for _, action := range f.controllers[id].Handle(f.now, e) {
		switch action := action.(type) {
		case SendHeartbeat:
			f.datagrams[id] += len(action.To)
			for _, to := range action.To {
				receiver := model.HostID(to.Address)
				heartbeat := action.Heartbeat
				if heartbeat.Lease != nil {
					part := *heartbeat.Lease
					part.Heard = to.Heard
					heartbeat.Lease = &part
				}
				if !f.isolated[id] && !f.isolated[receiver] && f.controllers[receiver] != nil {
					f.handle(receiver, HeartbeatReceived{Heartbeat: heartbeat, From: model.Address(id), ArrivedAt: model.Instant(f.now.UnixNano())})
				}
			}
		case ProbeInstances:
			f.probes[id] += len(action.Instances)
			if slices.Contains(action.Instances, "i0") {
				f.proofs[id] = scout.Proof{Database: "seats", Instance: "i0", Point: model.Point{Term: 1, Position: 1}, SentAt: model.Instant(f.now.UnixNano())}
			}
		case FetchDirectory:
			f.fetches[id]++
			f.handle(id, f.fetch(id, action.Host))
		case ObserveProofs:
			f.observed[id] = action.Proofs[0]
		case ReadPromotions:
			read := PromotionsRead{SentAt: model.Instant(f.now.UnixNano())}
			if f.rows != nil {
				read.Update = f.rows()
			}
			f.handle(id, read)
		case ChangePrimary:
			f.changes = append(f.changes, action)
			f.changedBy = append(f.changedBy, id)
		}
	}
}

// fetch returns the result of a fetch from another host.
func (f *fleet) fetch(id, from model.HostID) DirectoryFetchDone {
	if f.isolated[id] || f.isolated[from] || f.fetchFails[id] {
		return DirectoryFetchDone{Host: from, Err: errNoHeartbeat}
	}
	view := f.controllers[from].Snapshot()
	d := view.Directory
	update := &DirectoryUpdate{Source: "host " + string(from), Full: true, Position: d.Position, Newest: d.Position}
	update.Configuration = &directory.Configuration{
		Version:   d.Version,
		Kinds:     slices.Collect(maps.Values(d.Kinds)),
		Databases: slices.Collect(maps.Values(d.Databases)),
	}
	for _, instance := range d.Instances {
		if !d.Missing[instance.ID] {
			update.Entries = append(update.Entries, directory.Entry{Instance: instance})
		}
	}
	membership := &MembershipUpdate{
		Full: true, Position: view.Membership.Position, Hosts: view.Membership.Hosts, Promotions: view.Membership.Promotions,
	}
	return DirectoryFetchDone{Host: from, Update: update, Membership: membership}
}

// run advances the clock, with a Tick for every host in each step.
func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, id := range f.hosts() {
			t := Tick{Boot: model.Instant(f.now.UnixNano()), StoreLost: f.storeLost[id]}
			for i := range 3 {
				instance := model.InstanceID(fmt.Sprintf("i%d", i))
				health := f.health(id, instance)
				health.Instance = instance
				report := InstanceReport{Health: health, Load: f.loads[id]}
				if instance == "i0" {
					report.Proof = f.proofs[id]
				}
				if assigned := f.controllers[id].Snapshot().Primaries["seats"].Assigned; assigned.Instance != instance && !f.inUse[id] {
					report.Released = assigned.Token
				}
				t.Instances = append(t.Instances, report)
			}
			f.handle(id, t)
		}
	}
}

// TestHeartbeatRateIsBounded guards against a flood of urgent heartbeats when a whole fleet starts at once while its
// directory keeps changing, as when instances appear one by one.
func TestHeartbeatRateIsBounded(t *testing.T) {
	const (
		span    = 5 * time.Second
		change  = 100 * time.Millisecond
		maxRate = 8 * 40 // datagrams per second of a host: 8 in each UrgentInterval
	)
	for name, hosts := range map[string]int{"a small fleet": 4, "a medium fleet": 32, "a large fleet": 100} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(hosts, 16)
			clear(f.datagrams)
			for step := range int(span / change) {
				for _, id := range f.hosts() {
					f.handle(id, DirectoryUpdate{Source: "store", Position: model.StorePosition{Revision: model.Revision(10 + step)}, Entries: []directory.Entry{{Instance: directory.Instance{
						Instance: model.Instance{ID: "i1", Database: "seats", Leaving: step%2 == 0},
						Role:     model.RoleReplica, Slots: 2, Position: model.StorePosition{Revision: model.Revision(10 + step)},
					}}}})
				}
				f.run(change)
			}
			for _, id := range f.hosts() {
				if got := f.datagrams[id]; got > maxRate*int(span/time.Second) {
					t.Errorf("got %d datagrams from %s in %v, want at most %d per second", got, id, span, maxRate)
				}
			}
		})
	}
}

// TestSharesStayWithinLimit guards against shares that exceed an instance's connections in total, under uneven and changing
// loads.
func TestSharesStayWithinLimit(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		connections model.Connections
		loads       func(host, step int) model.Load
		maxTotal    func(hosts int, limit model.Connections) int // greatest sum of the shares; nil for the limit
		firstHost   int                                          // least share of the first host
		scarce      bool
	}{
		"even loads":                      {hosts: 4, connections: 16, loads: func(int, int) model.Load { return 30 }, firstHost: 2},
		"one busy host":                   {hosts: 4, connections: 16, loads: func(h, _ int) model.Load { return model.Load(3 + 97*max(1-h, 0)) }, firstHost: 8},
		"all idle":                        {hosts: 4, connections: 16, loads: func(int, int) model.Load { return 0 }, firstHost: 1},
		"changing loads":                  {hosts: 4, connections: 55, loads: func(h, s int) model.Load { return model.Load((h*37 + s*53) % 90) }, firstHost: 1},
		"more hosts than connections":     {hosts: 30, connections: 16, loads: func(int, int) model.Load { return 10 }, firstHost: 1, scarce: true, maxTotal: func(hosts int, _ model.Connections) int { return hosts }},
		"many hosts and many connections": {hosts: 30, connections: 185, loads: func(h, _ int) model.Load { return model.Load(h) }, firstHost: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.hosts, test.connections)
			for step := range 10 {
				for i, id := range f.hosts() {
					f.loads[id] = test.loads(i, step)
				}
				f.run(3 * time.Second)
				sum := 0
				for _, id := range f.hosts() {
					sum += int(f.controllers[id].Snapshot().Shares["i0"].Connections)
				}
				limit := int(test.connections)
				if test.maxTotal != nil {
					limit = test.maxTotal(test.hosts, test.connections)
				}
				if sum > limit {
					t.Fatalf("got %d connections in total at step %d, want at most %d", sum, step, limit)
				}
			}
			if got := f.controllers["h00"].Snapshot().Shares["i0"].Scarce; got != test.scarce {
				t.Errorf("got scarce %v, want %v", got, test.scarce)
			}
			if got := int(f.controllers["h00"].Snapshot().Shares["i0"].Connections); got < test.firstHost {
				t.Errorf("got %d connections for the first host, want at least %d", got, test.firstHost)
			}
		})
	}
}

func TestSharesOfLostHostsAreReassigned(t *testing.T) {
	f := newFleet(4, 16)
	for _, id := range f.hosts() {
		f.loads[id] = 50
	}
	f.run(2 * time.Second)
	before := f.controllers["h00"].Snapshot().Shares["i0"].Connections
	f.isolated["h03"], f.isolated["h02"] = true, true
	f.run(2 * time.Second)
	if got := f.controllers["h00"].Snapshot().Shares["i0"].Connections; got != before {
		t.Errorf("got %d connections while the lost hosts' connections still count, want %d", got, before)
	}
	f.run(4 * time.Second)
	if got := f.controllers["h00"].Snapshot().Shares["i0"].Connections; got <= before {
		t.Errorf("got %d connections once they no longer count, want more than %d", got, before)
	}
}

// TestChangingIsPublished guards against statements that give up on a lost primary since their host, after a pause of its own, hears
// no other host for a moment, and against statements that wait at a host that is cut off.
func TestChangingIsPublished(t *testing.T) {
	tests := map[string]struct {
		lost     bool          // the primary
		isolated time.Duration // how long the host hears no other; zero for a host that does
		want     bool
	}{
		"the primary works":             {},
		"the primary is lost":           {lost: true, want: true},
		"lost, and alone for a moment":  {lost: true, isolated: 2500 * time.Millisecond, want: true},
		"lost, and alone for a while":   {lost: true, isolated: 6 * time.Second},
		"works, and alone for a while":  {isolated: 6 * time.Second},
		"works, and alone for a moment": {isolated: 2500 * time.Millisecond},
		"lost, and the only host":       {lost: true, isolated: -1, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hosts := 3
			if test.isolated < 0 {
				hosts = 1
			}
			f := newFleet(hosts, 16)
			f.health = func(_ model.HostID, i model.InstanceID) failover.Health {
				if i == "i0" {
					return failover.Health{Term: 1, LastProof: f.now}
				}
				return failover.Health{}
			}
			f.run(2 * time.Second)
			f.isolated["h00"] = test.isolated > 0
			f.run(max(test.isolated-time.Second, 0))
			since := f.now
			if test.lost {
				f.health = func(_ model.HostID, i model.InstanceID) failover.Health {
					if i == "i0" {
						return failover.Health{Term: 1, LastProof: since.Add(-tick), SilentSince: since}
					}
					return failover.Health{}
				}
			}
			f.run(time.Second)
			delete(f.controllers["h00"].changing, "seats") // a change that this host makes itself
			f.controllers["h00"].publish(f.now, f.controllers["h00"].liveHosts(f.now))
			if got := f.controllers["h00"].Snapshot().Primaries["seats"].Changing; got != test.want {
				t.Errorf("got changing %v, want %v", got, test.want)
			}
		})
	}
}

// TestPrimaryChangesOnce checks, for different views that hosts have of a primary, that exactly one host orders a change, or
// none does.
func TestPrimaryChangesOnce(t *testing.T) {
	healthy := func(f *fleet) failover.Health { return failover.Health{Term: 1, LastProof: f.now} }
	lost := func(f *fleet, since time.Time) failover.Health {
		return failover.Health{Term: 1, LastProof: since.Add(-tick), SilentSince: since}
	}
	tests := map[string]struct {
		hosts   int
		health  func(f *fleet, since time.Time, host model.HostID) failover.Health
		isolate []model.HostID // hosts whose heartbeats are lost
		direct  model.HostID   // hosts before this one reach the primary while it works, the others know proofs of these; empty for all
		want    bool           // a change is ordered, by one host, before the stagger lets the next one act
	}{
		"healthy":                               {hosts: 4, health: func(f *fleet, _ time.Time, _ model.HostID) failover.Health { return healthy(f) }},
		"silent to all hosts":                   {hosts: 4, health: func(f *fleet, s time.Time, _ model.HostID) failover.Health { return lost(f, s) }, want: true},
		"silent to all hosts of a larger fleet": {hosts: 29, health: func(f *fleet, s time.Time, _ model.HostID) failover.Health { return lost(f, s) }, want: true},
		"silent to those that observe it, others repeat proofs": {hosts: 20, direct: "h14", health: func(f *fleet, s time.Time, h model.HostID) failover.Health {
			if h < "h14" {
				return lost(f, s)
			}
			return failover.Health{Term: 1, RemoteProof: f.now}
		}, want: true},
		"silent to one host": {hosts: 4, health: func(f *fleet, s time.Time, h model.HostID) failover.Health {
			if h == "h00" {
				return lost(f, s)
			}
			return healthy(f)
		}},
		"silent to half of the hosts": {hosts: 4, health: func(f *fleet, s time.Time, h model.HostID) failover.Health {
			if h < "h02" {
				return lost(f, s)
			}
			return healthy(f)
		}},
		"silent to an isolated host, for a moment": {hosts: 4, isolate: []model.HostID{"h00"}, health: func(f *fleet, s time.Time, h model.HostID) failover.Health {
			if h == "h00" {
				return lost(f, s)
			}
			return healthy(f)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.hosts, 16)
			f.health = func(h model.HostID, i model.InstanceID) failover.Health {
				switch {
				case i == "i0" && test.direct != "" && h >= test.direct:
					return failover.Health{Term: 1, RemoteProof: f.now}
				case i == "i0":
					return healthy(f)
				}
				return failover.Health{}
			}
			f.run(2 * time.Second)
			since := f.now
			f.health = func(h model.HostID, i model.InstanceID) failover.Health {
				if i == "i0" {
					return test.health(f, since, h)
				}
				return failover.Health{}
			}
			for _, id := range test.isolate {
				f.isolated[id] = true
			}
			for range 46 { // within 2.3 s, before an isolated host may act
				f.run(tick)
				if len(f.changes) > 0 {
					break
				}
			}
			if got := len(f.changes) == 1; got != test.want || len(f.changes) > 1 {
				t.Fatalf("got changes %+v by %v, want exactly one: %v", f.changes, f.changedBy, test.want)
			}
			if test.want && (f.changes[0].Primary.ID != "i0" || len(f.changes[0].Replicas) != 2 || f.changes[0].Demote) {
				t.Errorf("got %+v, want i0 replaced by one of two replicas", f.changes[0])
			}
			if took := f.now.Sub(since); test.want && took > 1500*time.Millisecond {
				t.Errorf("got an order %v after the loss, want one within 1.5 s", took)
			}
		})
	}
}

func TestNewerDirectoryOfAnotherHostIsFetched(t *testing.T) {
	f := newFleet(2, 16)
	f.run(time.Second)
	c := f.controllers["h00"]
	heartbeat := Heartbeat{Host: "h01", Incarnation: 1, Sequence: 1000, Version: 4, Position: model.StorePosition{Revision: 9}}
	if actions := c.Handle(f.now, HeartbeatReceived{Heartbeat: heartbeat, From: "h01"}); fetches(actions) != 0 {
		t.Errorf("got %v at once, want no fetch before the store has had time to deliver", actions)
	}
	heartbeat.Sequence++
	f.now = f.now.Add(c.Timing.FetchDelay)
	if got := fetches(c.Handle(f.now, HeartbeatReceived{Heartbeat: heartbeat, From: "h01"})); got != 1 {
		t.Fatalf("got %d fetches, want one", got)
	}
	update := DirectoryUpdate{Source: "host h01", Configuration: &directory.Configuration{Version: 4, Kinds: []model.Kind{{ID: "new"}}}}
	c.Handle(f.now, DirectoryFetchDone{Host: "h01", Update: &update})
	if got := c.Snapshot().Directory; got.Version != 4 || len(got.Instances) != 3 {
		t.Errorf("got version %d with %d instances, want 4 with 3", got.Version, len(got.Instances))
	}
}

// fetches returns the number of fetches among actions.
func fetches(actions []Action) (count int) {
	for _, action := range actions {
		if _, ok := action.(FetchDirectory); ok {
			count++
		}
	}
	return count
}

func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	tests := map[string]struct {
		incarnation model.Incarnation
		sequence    model.Sequence
		want        model.Load
	}{
		"next sequence number":         {incarnation: 1, sequence: 1001, want: 7},
		"duplicate":                    {incarnation: 1, sequence: 1000, want: 5},
		"older sequence number":        {incarnation: 1, sequence: 999, want: 5},
		"first of a newer incarnation": {incarnation: 2, sequence: 1, want: 7},
		"from an older incarnation":    {incarnation: 0, sequence: 5000, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 16)
			c := f.controllers["h00"]
			load := func(l model.Load) map[model.InstanceID]model.Load { return map[model.InstanceID]model.Load{"i0": l} }
			c.Handle(f.now, HeartbeatReceived{Heartbeat: Heartbeat{Host: "h01", Incarnation: 1, Sequence: 1000, Loads: load(5)}, From: "h01"})
			c.Handle(f.now, HeartbeatReceived{Heartbeat: Heartbeat{Host: "h01", Incarnation: test.incarnation, Sequence: test.sequence, Loads: load(7)}, From: "h01"})
			if got := c.hosts["h01"].heartbeat.Loads["i0"]; got != test.want {
				t.Errorf("got load %d, want %d", got, test.want)
			}
		})
	}
}

// BenchmarkTick measures the cost of one Tick on one host, by fleet size.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{4, 30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := newFleet(hosts, 185)
			f.run(200 * time.Millisecond)
			c := f.controllers["h00"]
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(tick)
				c.Handle(f.now, Tick{})
			}
		})
	}
}

// BenchmarkShares measures the shares of instances before hosts that all keep connections and report equal loads.
func BenchmarkShares(b *testing.B) {
	for _, hosts := range []int{4, 30, 90} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := newFleet(hosts, 185)
			f.run(200 * time.Millisecond)
			c := f.controllers["h00"]
			b.ReportAllocs()
			for b.Loop() {
				c.shares(f.now)
			}
		})
	}
}
