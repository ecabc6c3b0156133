package member

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// stepInterval is the simulated time between two steps of a host.
const stepInterval = 50 * time.Millisecond

// simulation runs the tables of several hosts, which exchange heartbeats on a shared clock.
type simulation struct {
	now         time.Time
	tables      map[model.HostID]*Table
	order       []model.HostID           // sorted
	down        map[model.HostID]bool    // crashed hosts
	partitioned map[[2]model.HostID]bool // pairs of sender and receiver whose messages are dropped
	heartbeats  int                      // number of heartbeats sent
	updates     int                      // number of updates delivered
}

// newSimulation returns a simulation whose hosts have received the host list.
func newSimulation(size int) *simulation {
	sim := &simulation{
		now:         time.Unix(1000, 0),
		tables:      make(map[model.HostID]*Table),
		down:        make(map[model.HostID]bool),
		partitioned: make(map[[2]model.HostID]bool),
	}
	for i := range size {
		sim.order = append(sim.order, model.HostID(fmt.Sprintf("h%04d", i)))
	}
	list := sim.list()
	for i, id := range sim.order {
		sim.tables[id] = New()
		sim.tables[id].Self = list[i]
		sim.tables[id].Incarnation = 1
		sim.tables[id].ApplyList(sim.now, list)
	}
	return sim
}

// list returns the platform's host list.
func (sim *simulation) list() []model.Host {
	var hosts []model.Host
	for _, id := range sim.order {
		hosts = append(hosts, model.Host{ID: id})
	}
	return hosts
}

// run advances the simulation.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(stepInterval) {
		for _, id := range sim.order {
			if !sim.down[id] {
				sim.step(id)
			}
		}
	}
}

// step detects failures on one host and sends its due heartbeats.
func (sim *simulation) step(id model.HostID) {
	table := sim.tables[id]
	table.DetectFailures(sim.now)
	for _, to := range table.DueHeartbeats(sim.now) {
		sim.heartbeats++
		if sim.down[to] || sim.partitioned[[2]model.HostID{id, to}] {
			table.HeartbeatMissed(sim.now, to)
			continue
		}
		sim.deliver(id, to)
		sim.deliver(to, id)
		table.HeartbeatAnswered(to)
	}
}

// deliver delivers a heartbeat from one host to another.
func (sim *simulation) deliver(from, to model.HostID) {
	sender, receiver := sim.tables[from], sim.tables[to]
	receiver.ReceiveHeartbeat(sim.now, from, sender.Incarnation, sender.NextSequence(), sender.IsLeaving(), 0)
	for _, update := range sender.TakeUpdates() {
		sim.updates++
		receiver.ReceiveUpdate(sim.now, from, update)
	}
}

// partition drops all messages between two hosts.
func (sim *simulation) partition(a, b model.HostID) {
	sim.partitioned[[2]model.HostID{a, b}] = true
	sim.partitioned[[2]model.HostID{b, a}] = true
}

// countBelieving returns the number of other running hosts that hold a host to be in a state.
func (sim *simulation) countBelieving(id model.HostID, state view.Liveness) int {
	count := 0
	for _, other := range sim.order {
		if other != id && !sim.down[other] && sim.tables[other].State(id, 1) == state {
			count++
		}
	}
	return count
}

func TestLiveness(t *testing.T) {
	tests := map[string]struct {
		size  int
		cause func(sim *simulation)
		state view.Liveness
		count int // number of hosts that hold h0000 to be in that state
	}{
		"all hosts alive":                        {size: 4, cause: func(*simulation) {}, state: view.Alive, count: 3},
		"crash":                                  {size: 4, cause: func(sim *simulation) { sim.down["h0000"] = true }, state: view.Dead, count: 3},
		"crash, two hosts":                       {size: 2, cause: func(sim *simulation) { sim.down["h0000"] = true }, state: view.Dead, count: 1},
		"link down between two hosts":            {size: 4, cause: func(sim *simulation) { sim.partition("h0000", "h0001") }, state: view.Dead, count: 0},
		"leaving host":                           {size: 4, cause: func(sim *simulation) { sim.tables["h0000"].Leave() }, state: view.Leaving, count: 3},
		"crash, large fleet":                     {size: 60, cause: func(sim *simulation) { sim.down["h0000"] = true }, state: view.Dead, count: 59},
		"neighbours crash together, large fleet": {size: 60, cause: func(sim *simulation) { sim.down["h0000"], sim.down["h0001"], sim.down["h0059"] = true, true, true }, state: view.Dead, count: 57},
		"leaving host, large fleet":              {size: 60, cause: func(sim *simulation) { sim.tables["h0000"].Leave() }, state: view.Leaving, count: 59},
		"live host missing from the list":        {size: 4, cause: func(sim *simulation) { sim.dropFromList("h0000", 10) }, state: view.Alive, count: 3},
		"crashed host missing from the list": {
			size:  4,
			cause: func(sim *simulation) { sim.down["h0000"] = true; sim.run(time.Second); sim.dropFromList("h0000", 3) },
			state: view.Dead,
			count: 3,
		},
		"crashed host restarts": {
			size:  60,
			cause: func(sim *simulation) { sim.down["h0000"] = true; sim.run(10 * time.Second); sim.down["h0000"] = false },
			state: view.Alive,
			count: 59,
		},
		"isolated host declares no other dead": {
			size: 4,
			cause: func(sim *simulation) {
				for _, id := range sim.order[1:] {
					sim.partition("h0000", id)
				}
			},
			state: view.Dead,
			count: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(test.size)
			sim.run(2 * time.Second)
			test.cause(sim)
			sim.run(10 * time.Second)
			if got := sim.countBelieving("h0000", test.state); got != test.count {
				t.Errorf("got %d hosts that hold h0000 to be %s, want %d", got, test.state, test.count)
			}
			for _, id := range sim.order[1:] {
				if got := sim.tables["h0000"].State(id, 1); !sim.down[id] && got == view.Dead {
					t.Errorf("got %s dead in the table of h0000, want it not dead", id)
				}
			}
		})
	}
}

// dropFromList applies lists that lack one host to every table.
func (sim *simulation) dropFromList(gone model.HostID, times int) {
	var short []model.Host
	for _, item := range sim.list() {
		if item.ID != gone {
			short = append(short, item)
		}
	}
	for range times {
		for _, id := range sim.order {
			sim.tables[id].ApplyList(sim.now, short)
		}
	}
}

func TestRestartEndsPreviousIncarnation(t *testing.T) {
	sim := newSimulation(4)
	sim.run(time.Second)
	sim.tables["h0001"].ReceiveHeartbeat(sim.now, "h0000", 2, 1, false, 0)
	if got := sim.tables["h0001"].State("h0000", 1); got != view.Dead {
		t.Errorf("got the previous incarnation %s, want dead", got)
	}
	if got := sim.tables["h0001"].State("h0000", 2); got != view.Alive {
		t.Errorf("got the new incarnation %s, want alive", got)
	}
}

// TestLargeFleet checks the heartbeat rate of an idle large fleet, and the time until every host knows of a crash.
func TestLargeFleet(t *testing.T) {
	const size = 300
	sim := newSimulation(size)
	sim.run(5 * time.Second)
	sim.heartbeats, sim.updates = 0, 0
	sim.run(10 * time.Second)
	t.Logf("idle: %.2f heartbeats and %.2f updates sent per host and second", perHost(sim.heartbeats, size), perHost(sim.updates, size))
	if got := perHost(sim.heartbeats, size); got > 10 {
		t.Errorf("got %.2f heartbeats per host and second, want at most 10", got)
	}
	sim.down["h0150"] = true
	start := sim.now
	first := time.Duration(0)
	for sim.countBelieving("h0150", view.Dead) < size-1 && sim.now.Sub(start) < time.Minute {
		sim.run(time.Second)
		if first == 0 && sim.countBelieving("h0150", view.Dead) > 0 {
			first = sim.now.Sub(start)
		}
	}
	all := sim.now.Sub(start)
	t.Logf("crash known to the first host after %v, to all after %v", first, all)
	if first > 2*time.Second || all > 10*time.Second {
		t.Errorf("got the crash known to the first host after %v and to all after %v, want at most 2s and 10s", first, all)
	}
}

// perHost converts a count over ten seconds into a rate per host and second.
func perHost(count, size int) float64 {
	return float64(count) / float64(size) / 10
}
