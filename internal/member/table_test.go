package member

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// tick is the time between two looks at what is due.
const tick = 50 * time.Millisecond

// fleet is a number of tables that exchange heartbeats on one clock.
type fleet struct {
	now    time.Time
	tables map[model.HostID]*Table
	order  []model.HostID
	down   map[model.HostID]bool
	cut    map[[2]model.HostID]bool
	beats  int
	news   int
}

// newFleet returns hosts that know each other from the list.
func newFleet(size int) *fleet {
	f := &fleet{
		now:    time.Unix(1000, 0),
		tables: make(map[model.HostID]*Table),
		down:   make(map[model.HostID]bool),
		cut:    make(map[[2]model.HostID]bool),
	}
	for i := range size {
		f.order = append(f.order, model.HostID(fmt.Sprintf("h%04d", i)))
	}
	list := f.list()
	for i, id := range f.order {
		f.tables[id] = New()
		f.tables[id].Self = list[i]
		f.tables[id].Incarnation = 1
		f.tables[id].List(f.now, list)
	}
	return f
}

// list is the platform's list.
func (f *fleet) list() []model.Host {
	var hosts []model.Host
	for _, id := range f.order {
		hosts = append(hosts, model.Host{ID: id})
	}
	return hosts
}

// run lets time pass.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, id := range f.order {
			if !f.down[id] {
				f.step(id)
			}
		}
	}
}

// step sends what is due from one host.
func (f *fleet) step(id model.HostID) {
	table := f.tables[id]
	table.Judge(f.now)
	for _, to := range table.Due(f.now) {
		f.beats++
		if f.down[to] || f.cut[[2]model.HostID{id, to}] {
			table.Missed(f.now, to)
			continue
		}
		f.carry(id, to)
		f.carry(to, id)
		table.Answered(to)
	}
}

// carry brings one heartbeat from one host to another.
func (f *fleet) carry(from, to model.HostID) {
	sender, receiver := f.tables[from], f.tables[to]
	receiver.Heard(f.now, from, sender.Incarnation, sender.NextSequence(), sender.IsLeaving(), 0)
	for _, news := range sender.TakeNews() {
		f.news++
		receiver.Told(f.now, from, news)
	}
}

// cutBoth cuts the messages between two hosts.
func (f *fleet) cutBoth(a, b model.HostID) {
	f.cut[[2]model.HostID{a, b}] = true
	f.cut[[2]model.HostID{b, a}] = true
}

// think counts the running hosts that hold a host for a state.
func (f *fleet) think(id model.HostID, state view.Liveness) int {
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
		cause func(f *fleet)
		state view.Liveness
		count int // hosts that hold h0000 for that
	}{
		"all live":                    {size: 4, cause: func(*fleet) {}, state: view.Alive, count: 3},
		"a host crashes":              {size: 4, cause: func(f *fleet) { f.down["h0000"] = true }, state: view.Dead, count: 3},
		"one of two crashes":          {size: 2, cause: func(f *fleet) { f.down["h0000"] = true }, state: view.Dead, count: 1},
		"one link is cut":             {size: 4, cause: func(f *fleet) { f.cutBoth("h0000", "h0001") }, state: view.Dead, count: 0},
		"a leaving host":              {size: 4, cause: func(f *fleet) { f.tables["h0000"].Leave() }, state: view.Leaving, count: 3},
		"a host of a large fleet":     {size: 60, cause: func(f *fleet) { f.down["h0000"] = true }, state: view.Dead, count: 59},
		"neighbours crash together":   {size: 60, cause: func(f *fleet) { f.down["h0000"], f.down["h0001"], f.down["h0059"] = true, true, true }, state: view.Dead, count: 57},
		"a leaving host, large fleet": {size: 60, cause: func(f *fleet) { f.tables["h0000"].Leave() }, state: view.Leaving, count: 59},
		"the list has lost the host":  {size: 4, cause: func(f *fleet) { f.unlist("h0000", 10) }, state: view.Alive, count: 3},
		"the list has lost a crashed host": {
			size:  4,
			cause: func(f *fleet) { f.down["h0000"] = true; f.run(time.Second); f.unlist("h0000", 3) },
			state: view.Dead,
			count: 3,
		},
		"a crashed host comes back": {
			size:  60,
			cause: func(f *fleet) { f.down["h0000"] = true; f.run(10 * time.Second); f.down["h0000"] = false },
			state: view.Alive,
			count: 59,
		},
		"a host that others can't reach suspects all and kills none": {
			size: 4,
			cause: func(f *fleet) {
				for _, id := range f.order[1:] {
					f.cutBoth("h0000", id)
				}
			},
			state: view.Dead,
			count: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.size)
			f.run(2 * time.Second)
			test.cause(f)
			f.run(10 * time.Second)
			if got := f.think("h0000", test.state); got != test.count {
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

// unlist gives every host lists without one host.
func (f *fleet) unlist(gone model.HostID, times int) {
	var short []model.Host
	for _, item := range f.list() {
		if item.ID != gone {
			short = append(short, item)
		}
	}
	for range times {
		for _, id := range f.order {
			f.tables[id].List(f.now, short)
		}
	}
}

func TestRestartEndsTheFormerRun(t *testing.T) {
	f := newFleet(4)
	f.run(time.Second)
	f.tables["h0001"].Heard(f.now, "h0000", 2, 1, false, 0)
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
	f := newFleet(size)
	f.run(5 * time.Second)
	f.beats, f.news = 0, 0
	f.run(10 * time.Second)
	t.Logf("idle: %.2f heartbeats sent a host and second, %.2f news", perHost(f.beats, size), perHost(f.news, size))
	if got := perHost(f.beats, size); got > 10 {
		t.Errorf("got %.2f heartbeats a host and second, want at most 10", got)
	}
	f.down["h0150"] = true
	start := f.now
	first := time.Duration(0)
	for f.think("h0150", view.Dead) < size-1 && f.now.Sub(start) < time.Minute {
		f.run(time.Second)
		if first == 0 && f.think("h0150", view.Dead) > 0 {
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
