package member

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// stepInterval is the time between two looks at what is due.
const stepInterval = 50 * time.Millisecond

// simulation is a number of tables that exchange heartbeats on one clock.
type simulation struct {
	now         time.Time
	tables      map[model.HostID]*Table
	order       []model.HostID
	down        map[model.HostID]bool
	partitioned map[[2]model.HostID]bool
	heartbeats  int
	updates     int
}

// newSimulation returns hosts that know each other from the list.
func newSimulation(size int) *simulation {
	f := &simulation{
		now:         time.Unix(1000, 0),
		tables:      make(map[model.HostID]*Table),
		down:        make(map[model.HostID]bool),
		partitioned: make(map[[2]model.HostID]bool),
	}
	for i := range size {
		f.order = append(f.order, model.HostID(fmt.Sprintf("h%04d", i)))
	}
	list := f.list()
	for i, id := range f.order {
		f.tables[id] = New()
		f.tables[id].Self = list[i]
		f.tables[id].Incarnation = 1
		f.tables[id].ApplyList(f.now, list)
	}
	return f
}

// list is the platform's list.
func (f *simulation) list() []model.Host {
	var hosts []model.Host
	for _, id := range f.order {
		hosts = append(hosts, model.Host{ID: id})
	}
	return hosts
}

// run lets time pass.
func (f *simulation) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		for _, id := range f.order {
			if !f.down[id] {
				f.step(id)
			}
		}
	}
}

// step sends what is due from one host.
func (f *simulation) step(id model.HostID) {
	table := f.tables[id]
	table.DetectFailures(f.now)
	for _, to := range table.DueHeartbeats(f.now) {
		f.heartbeats++
		if f.down[to] || f.partitioned[[2]model.HostID{id, to}] {
			table.HeartbeatMissed(f.now, to)
			continue
		}
		f.deliver(id, to)
		f.deliver(to, id)
		table.HeartbeatAnswered(to)
	}
}

// deliver brings one heartbeat from one host to another.
func (f *simulation) deliver(from, to model.HostID) {
	sender, receiver := f.tables[from], f.tables[to]
	receiver.ReceiveHeartbeat(f.now, from, sender.Incarnation, sender.NextSequence(), sender.IsLeaving(), 0)
	for _, news := range sender.TakeUpdates() {
		f.updates++
		receiver.ReceiveUpdate(f.now, from, news)
	}
}

// partition cuts the messages between two hosts.
func (f *simulation) partition(a, b model.HostID) {
	f.partitioned[[2]model.HostID{a, b}] = true
	f.partitioned[[2]model.HostID{b, a}] = true
}

// countBelieving counts the running hosts that hold a host for a state.
func (f *simulation) countBelieving(id model.HostID, state view.Liveness) int {
	count := 0
	for _, other := range f.order {
		if other != id && !f.down[other] && f.tables[other].State(id, 1) == state {
			count++
		}
	}
	return count
}

func TestLiveness(t *testing.T) {
	tests := map[string]struct {
		size  int
		cause func(f *simulation)
		state view.Liveness
		count int // hosts that hold h0000 for that
	}{
		"all live":                    {size: 4, cause: func(*simulation) {}, state: view.Alive, count: 3},
		"a host crashes":              {size: 4, cause: func(f *simulation) { f.down["h0000"] = true }, state: view.Dead, count: 3},
		"one of two crashes":          {size: 2, cause: func(f *simulation) { f.down["h0000"] = true }, state: view.Dead, count: 1},
		"one link is cut":             {size: 4, cause: func(f *simulation) { f.partition("h0000", "h0001") }, state: view.Dead, count: 0},
		"a leaving host":              {size: 4, cause: func(f *simulation) { f.tables["h0000"].Leave() }, state: view.Leaving, count: 3},
		"a host of a large fleet":     {size: 60, cause: func(f *simulation) { f.down["h0000"] = true }, state: view.Dead, count: 59},
		"neighbours crash together":   {size: 60, cause: func(f *simulation) { f.down["h0000"], f.down["h0001"], f.down["h0059"] = true, true, true }, state: view.Dead, count: 57},
		"a leaving host, large fleet": {size: 60, cause: func(f *simulation) { f.tables["h0000"].Leave() }, state: view.Leaving, count: 59},
		"the list has lost the host":  {size: 4, cause: func(f *simulation) { f.dropFromList("h0000", 10) }, state: view.Alive, count: 3},
		"the list has lost a crashed host": {
			size:  4,
			cause: func(f *simulation) { f.down["h0000"] = true; f.run(time.Second); f.dropFromList("h0000", 3) },
			state: view.Dead,
			count: 3,
		},
		"a crashed host comes back": {
			size:  60,
			cause: func(f *simulation) { f.down["h0000"] = true; f.run(10 * time.Second); f.down["h0000"] = false },
			state: view.Alive,
			count: 59,
		},
		"a host that others can't reach suspects all and kills none": {
			size: 4,
			cause: func(f *simulation) {
				for _, id := range f.order[1:] {
					f.partition("h0000", id)
				}
			},
			state: view.Dead,
			count: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSimulation(test.size)
			f.run(2 * time.Second)
			test.cause(f)
			f.run(10 * time.Second)
			if got := f.countBelieving("h0000", test.state); got != test.count {
				t.Errorf("got %d hosts that hold it for %s, want %d", got, test.state, test.count)
			}
			for _, id := range f.order[1:] {
				if got := f.tables["h0000"].State(id, 1); !f.down[id] && got == view.Dead {
					t.Errorf("got %s held for dead by h0000, want it not", id)
				}
			}
		})
	}
}

// dropFromList gives every host lists without one host.
func (f *simulation) dropFromList(gone model.HostID, times int) {
	var short []model.Host
	for _, item := range f.list() {
		if item.ID != gone {
			short = append(short, item)
		}
	}
	for range times {
		for _, id := range f.order {
			f.tables[id].ApplyList(f.now, short)
		}
	}
}

func TestRestartEndsTheFormerRun(t *testing.T) {
	f := newSimulation(4)
	f.run(time.Second)
	f.tables["h0001"].ReceiveHeartbeat(f.now, "h0000", 2, 1, false, 0)
	if got := f.tables["h0001"].State("h0000", 1); got != view.Dead {
		t.Errorf("got the former run %s, want dead", got)
	}
	if got := f.tables["h0001"].State("h0000", 2); got != view.Alive {
		t.Errorf("got the new run %s, want alive", got)
	}
}

// TestLargeFleet crashes one of many hosts and measures heartbeats, news and the time until all know.
func TestLargeFleet(t *testing.T) {
	const size = 300
	f := newSimulation(size)
	f.run(5 * time.Second)
	f.heartbeats, f.updates = 0, 0
	f.run(10 * time.Second)
	t.Logf("idle: %.2f heartbeats sent a host and second, %.2f news", perHost(f.heartbeats, size), perHost(f.updates, size))
	if got := perHost(f.heartbeats, size); got > 10 {
		t.Errorf("got %.2f heartbeats a host and second, want at most 10", got)
	}
	f.down["h0150"] = true
	start := f.now
	first := time.Duration(0)
	for f.countBelieving("h0150", view.Dead) < size-1 && f.now.Sub(start) < time.Minute {
		f.run(time.Second)
		if first == 0 && f.countBelieving("h0150", view.Dead) > 0 {
			first = f.now.Sub(start)
		}
	}
	all := f.now.Sub(start)
	t.Logf("a crash is known to the first host after %v, to all after %v", first, all)
	if first > 2*time.Second || all > 10*time.Second {
		t.Errorf("got it known after %v to the first and %v to all, want 2s and 10s at most", first, all)
	}
}

// perHost returns a count over ten seconds for each host and second.
func perHost(count, size int) float64 {
	return float64(count) / float64(size) / 10
}
