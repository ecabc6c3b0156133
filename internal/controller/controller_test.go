package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// world is a fleet of governors on one clock, whose beats arrive at once unless they are cut.
type world struct {
	now       time.Time
	governors map[model.HostID]*Controller
	silent    map[model.HostID]bool // hosts that nobody hears and that hear nobody
	sees      func(host model.HostID, instance model.InstanceID) failover.Health
	loads     map[model.HostID]model.Load
	changes   []ChangePrimary // that hosts ordered
	by        []model.HostID
	sent      map[model.HostID]int // datagrams of each host
}

// tick is the time between two ticks of the fleet.
const tick = 50 * time.Millisecond

// newWorld returns a fleet that knows a database of three instances, the first of which leads.
func newWorld(hosts int, connections model.Connections) *world {
	w := &world{
		now:       time.Unix(1000, 0),
		governors: make(map[model.HostID]*Controller),
		silent:    make(map[model.HostID]bool),
		loads:     make(map[model.HostID]model.Load),
		sent:      make(map[model.HostID]int),
	}
	w.sees = func(model.HostID, model.InstanceID) failover.Health { return failover.Health{} }
	var roster MembershipUpdate
	for i := range hosts {
		id := model.HostID(fmt.Sprintf("h%02d", i))
		g := New()
		g.SetGrace(3500 * time.Millisecond)
		g.Self = Host{ID: id, Address: model.Address(id), DataCentre: "east", Incarnation: 1}
		g.Logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		w.governors[id] = g
		roster.Hosts = append(roster.Hosts, g.Self)
	}
	roster.Full = true
	news := DirectoryUpdate{Source: "store", Revision: 9, Full: true, Configuration: &directory.Configuration{
		Version:   3,
		Kinds:     []model.Kind{{ID: "desk", Database: "seats"}},
		Databases: []model.Database{{ID: "seats", Connections: connections}},
	}}
	for i, role := range []model.Role{model.RolePrimary, model.RoleReplica, model.RoleReplica} {
		news.Entries = append(news.Entries, directory.Entry{Instance: directory.Instance{
			Instance: model.Instance{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Database: "seats"},
			Role:     role, Slots: 2, Revision: model.Revision(i + 1),
		}})
	}
	for _, id := range w.hosts() {
		w.handle(id, roster)
		w.handle(id, news)
	}
	return w
}

// hosts returns the names in order.
func (w *world) hosts() (ids []model.HostID) {
	for id := range w.governors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// handle hands an event to a host and carries its actions out.
func (w *world) handle(id model.HostID, e Event) {
	for _, action := range w.governors[id].Handle(w.now, e) {
		switch action := action.(type) {
		case SendHeartbeat:
			w.sent[id] += len(action.To)
			for _, to := range action.To {
				if !w.silent[id] && !w.silent[model.HostID(to)] && w.governors[model.HostID(to)] != nil {
					w.handle(model.HostID(to), HeartbeatReceived{Heartbeat: action.Heartbeat, From: model.Address(id)})
				}
			}
		case ChangePrimary:
			w.changes = append(w.changes, action)
			w.by = append(w.by, id)
		}
	}
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, id := range w.hosts() {
			var t Tick
			for i := range 3 {
				instance := model.InstanceID(fmt.Sprintf("i%d", i))
				health := w.sees(id, instance)
				health.Instance = instance
				t.Instances = append(t.Instances, InstanceReport{Health: health, Load: w.loads[id]})
			}
			w.handle(id, t)
		}
	}
}

// TestBeatsStayFew has a fleet start at once while its directory changes all the time, as when instances appear one by one.
func TestBeatsStayFew(t *testing.T) {
	const (
		span   = 5 * time.Second
		change = 100 * time.Millisecond
		most   = 8 * 40 // datagrams a second of a host: eight in each Urgent
	)
	for name, hosts := range map[string]int{"a small fleet": 4, "a fleet": 32, "a large fleet": 100} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(hosts, 16)
			clear(w.sent)
			for step := range int(span / change) {
				for _, id := range w.hosts() {
					w.handle(id, DirectoryUpdate{Source: "store", Revision: model.Revision(10 + step), Entries: []directory.Entry{{Instance: directory.Instance{
						Instance: model.Instance{ID: "i1", Database: "seats", Leaving: step%2 == 0},
						Role:     model.RoleReplica, Slots: 2, Revision: model.Revision(10 + step),
					}}}})
				}
				w.run(change)
			}
			for _, id := range w.hosts() {
				if got := w.sent[id]; got > most*int(span/time.Second) {
					t.Errorf("got %d datagrams of %s in %v, want at most %d a second", got, id, span, most)
				}
			}
		})
	}
}

// TestSharesNeverAddUp replays uneven and changing loads before few connections.
func TestSharesNeverAddUp(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		connections model.Connections
		loads       func(host, step int) model.Load
		most        func(hosts int, limit model.Connections) int // connections that hosts may have together
		busiest     int                                          // least share of host 0
		scarce      bool
	}{
		"even":                {hosts: 4, connections: 16, loads: func(int, int) model.Load { return 30 }, busiest: 2},
		"one busy host":       {hosts: 4, connections: 16, loads: func(h, _ int) model.Load { return model.Load(3 + 97*max(1-h, 0)) }, busiest: 8},
		"all idle":            {hosts: 4, connections: 16, loads: func(int, int) model.Load { return 0 }, busiest: 1},
		"loads that swing":    {hosts: 4, connections: 55, loads: func(h, s int) model.Load { return model.Load((h*37 + s*53) % 90) }, busiest: 1},
		"more hosts than fit": {hosts: 30, connections: 16, loads: func(int, int) model.Load { return 10 }, busiest: 1, scarce: true, most: func(hosts int, _ model.Connections) int { return hosts }},
		"a fleet before many": {hosts: 30, connections: 185, loads: func(h, _ int) model.Load { return model.Load(h) }, busiest: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(test.hosts, test.connections)
			for step := range 10 {
				for i, id := range w.hosts() {
					w.loads[id] = test.loads(i, step)
				}
				w.run(3 * time.Second)
				sum := 0
				for _, id := range w.hosts() {
					sum += int(w.governors[id].Snapshot().Shares["i0"].Connections)
				}
				limit := int(test.connections)
				if test.most != nil {
					limit = test.most(test.hosts, test.connections)
				}
				if sum > limit {
					t.Fatalf("got %d connections in all at step %d, want at most %d", sum, step, limit)
				}
			}
			if got := w.governors["h00"].Snapshot().Shares["i0"].Scarce; got != test.scarce {
				t.Errorf("got connections that are scarce: %v, want %v", got, test.scarce)
			}
			if got := int(w.governors["h00"].Snapshot().Shares["i0"].Connections); got < test.busiest {
				t.Errorf("got %d connections of the first host, want at least %d", got, test.busiest)
			}
		})
	}
}

func TestSharesOfLostHostsAreUsedAgain(t *testing.T) {
	w := newWorld(4, 16)
	for _, id := range w.hosts() {
		w.loads[id] = 50
	}
	w.run(2 * time.Second)
	before := w.governors["h00"].Snapshot().Shares["i0"].Connections
	w.silent["h03"], w.silent["h02"] = true, true
	w.run(2 * time.Second)
	if got := w.governors["h00"].Snapshot().Shares["i0"].Connections; got != before {
		t.Errorf("got %d connections while those of the lost hosts still count, want %d", got, before)
	}
	w.run(4 * time.Second)
	if got := w.governors["h00"].Snapshot().Shares["i0"].Connections; got <= before {
		t.Errorf("got %d connections after that, want more than %d", got, before)
	}
}

// TestPrimaryChangesOnce plays what hosts see of a primary and counts the orders that follow.
func TestPrimaryChangesOnce(t *testing.T) {
	fine := func(w *world) failover.Health { return failover.Health{Term: 1, Led: w.now} }
	lost := func(w *world, since time.Time) failover.Health {
		return failover.Health{Term: 1, Led: since.Add(-tick), Silent: since}
	}
	tests := map[string]struct {
		hosts int
		sees  func(w *world, since time.Time, host model.HostID) failover.Health
		cut   []model.HostID // hosts that hear nobody
		want  bool           // a change is ordered, by one host within the turn of the next
	}{
		"all is well":              {hosts: 4, sees: func(w *world, _ time.Time, _ model.HostID) failover.Health { return fine(w) }},
		"silent to all":            {hosts: 4, sees: func(w *world, s time.Time, _ model.HostID) failover.Health { return lost(w, s) }, want: true},
		"silent to all of a fleet": {hosts: 29, sees: func(w *world, s time.Time, _ model.HostID) failover.Health { return lost(w, s) }, want: true},
		"silent to one": {hosts: 4, sees: func(w *world, s time.Time, h model.HostID) failover.Health {
			if h == "h00" {
				return lost(w, s)
			}
			return fine(w)
		}},
		"silent to half": {hosts: 4, sees: func(w *world, s time.Time, h model.HostID) failover.Health {
			if h < "h02" {
				return lost(w, s)
			}
			return fine(w)
		}},
		"silent to a host that hears nobody, for a moment": {hosts: 4, cut: []model.HostID{"h00"}, sees: func(w *world, s time.Time, h model.HostID) failover.Health {
			if h == "h00" {
				return lost(w, s)
			}
			return fine(w)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(test.hosts, 16)
			w.sees = func(_ model.HostID, i model.InstanceID) failover.Health {
				if i == "i0" {
					return fine(w)
				}
				return failover.Health{}
			}
			w.run(2 * time.Second)
			since := w.now
			w.sees = func(h model.HostID, i model.InstanceID) failover.Health {
				if i == "i0" {
					return test.sees(w, since, h)
				}
				return failover.Health{}
			}
			for _, id := range test.cut {
				w.silent[id] = true
			}
			for range 46 { // within 2.3 s, before a lone host may act
				w.run(tick)
				if len(w.changes) > 0 {
					break
				}
			}
			if got := len(w.changes) == 1; got != test.want || len(w.changes) > 1 {
				t.Fatalf("got changes %+v by %v, want one: %v", w.changes, w.by, test.want)
			}
			if test.want && (w.changes[0].Primary.ID != "i0" || len(w.changes[0].Replicas) != 2 || w.changes[0].Demote) {
				t.Errorf("got %+v, want i0 replaced by one of two replicas", w.changes[0])
			}
			if took := w.now.Sub(since); test.want && took > 1500*time.Millisecond {
				t.Errorf("got an order %v after the loss, want one within 1.5 s", took)
			}
		})
	}
}

func TestNewerDirectoryOfAnotherHostIsFetched(t *testing.T) {
	w := newWorld(2, 16)
	w.run(time.Second)
	g := w.governors["h00"]
	beat := Heartbeat{Host: "h01", Incarnation: 1, Sequence: 1000, Version: 4, Revision: 9}
	if actions := g.Handle(w.now, HeartbeatReceived{Heartbeat: beat, From: "h01"}); fetches(actions) != 0 {
		t.Errorf("got %v at once, want the store to have its time", actions)
	}
	beat.Sequence++
	w.now = w.now.Add(g.Timing.FetchDelay)
	if got := fetches(g.Handle(w.now, HeartbeatReceived{Heartbeat: beat, From: "h01"})); got != 1 {
		t.Fatalf("got %d fetches, want one", got)
	}
	news := DirectoryUpdate{Source: "host h01", Configuration: &directory.Configuration{Version: 4, Kinds: []model.Kind{{ID: "new"}}}}
	g.Handle(w.now, DirectoryFetchDone{Host: "h01", Update: &news})
	if got := g.Snapshot().Directory; got.Version != 4 || len(got.Instances) != 3 {
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

func TestOldBeatsChangeNothing(t *testing.T) {
	tests := map[string]struct {
		incarnation model.Incarnation
		sequence    model.Sequence
		want        model.Load
	}{
		"the next one":            {incarnation: 1, sequence: 1001, want: 7},
		"the same again":          {incarnation: 1, sequence: 1000, want: 5},
		"an earlier one":          {incarnation: 1, sequence: 999, want: 5},
		"the first of a new life": {incarnation: 2, sequence: 1, want: 7},
		"one of an earlier life":  {incarnation: 0, sequence: 5000, want: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 16)
			g := w.governors["h00"]
			load := func(l model.Load) map[model.InstanceID]model.Load { return map[model.InstanceID]model.Load{"i0": l} }
			g.Handle(w.now, HeartbeatReceived{Heartbeat: Heartbeat{Host: "h01", Incarnation: 1, Sequence: 1000, Loads: load(5)}, From: "h01"})
			g.Handle(w.now, HeartbeatReceived{Heartbeat: Heartbeat{Host: "h01", Incarnation: test.incarnation, Sequence: test.sequence, Loads: load(7)}, From: "h01"})
			if got := g.hosts["h01"].heartbeat.Loads["i0"]; got != test.want {
				t.Errorf("got load %d, want %d", got, test.want)
			}
		})
	}
}

// BenchmarkTick is the cost of control in a fleet of the size: one tick of one host among all.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{4, 30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			w := newWorld(hosts, 185)
			w.run(200 * time.Millisecond)
			g := w.governors["h00"]
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(tick)
				g.Handle(w.now, Tick{})
			}
		})
	}
}
