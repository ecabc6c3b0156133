package allowance

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// events are what happens at times of a scenario, whole multiples of modelStep.
type events = map[time.Duration]func(*world)

// steady returns a demand that doesn't change.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// from returns a demand that begins at a time.
func from(begin time.Duration, rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < begin {
			return 0
		}
		return rate
	}
}

// pulses returns a demand of 300 operations at the start of each second, and of a rate from a time on.
func pulses(until time.Duration, rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at >= until:
			return rate
		case at%second < modelStep:
			return 300 / modelStep.Seconds()
		}
		return 0
	}
}

// restart stops a host and starts it again.
func restart(w *world, i int, after time.Duration) {
	w.nodes[i].upAt, w.nodes[i].ended = w.now.Add(after), true
}

// stopFirst returns an event that stops the first hosts of the order for a time; those that end begin a new life then.
func stopFirst(count int, length time.Duration, ended bool) func(*world) {
	return func(w *world) {
		for _, i := range w.order[:count] {
			w.nodes[i].upAt, w.nodes[i].ended = w.now.Add(length), ended
		}
	}
}

// divide cuts the links between hosts of different sides. Only side zero reaches the store.
func divide(w *world, sideOf func(i int) int) {
	for i, n := range w.nodes {
		n.offline = sideOf(i) != 0
		for j := range w.nodes {
			w.cut[i][j] = sideOf(i) != sideOf(j)
		}
	}
}

// split cuts the first owners off from the other hosts, which notice that earlier than they do, and from the store.
func split(w *world) {
	side := w.order[:(len(w.nodes)-1)/2]
	divide(w, func(i int) int { return min(slices.Index(side, i), 0) + 1 })
	for i, n := range w.nodes {
		for j := range w.nodes {
			if w.cut[i][j] && n.offline {
				n.dead[j] = 3500 * time.Millisecond
			} else if w.cut[i][j] {
				n.dead[j] = 1200 * time.Millisecond
			}
		}
	}
}

// splitRegions cuts all links between regions.
func splitRegions(w *world) { divide(w, func(i int) int { return i % 3 }) }

// heal mends all links.
func heal(w *world) {
	for i, links := range w.cut {
		clear(links)
		w.nodes[i].offline = false
	}
}

// cutFirst returns an event that cuts the link between the first owner and another host of the order.
func cutFirst(other int) func(*world) {
	return func(w *world) {
		i, j := w.order[0], w.order[other]
		w.cut[i][j], w.cut[j][i] = true, true
	}
}

// cutRegions cuts the links between two of the three regions.
func cutRegions(w *world) {
	for i, n := range w.nodes {
		for j, other := range w.nodes {
			w.cut[i][j] = n.host.Region != other.host.Region && n.host.Region != "r2" && other.host.Region != "r2"
		}
	}
}

// join starts the first hosts in the tenant's order.
func join(w *world) {
	for _, i := range w.order[:w.joins] {
		w.nodes[i].upAt = w.now
	}
}

// joinUnheard starts the first host of the order, which the one after it and the last owner don't hear or read of.
func joinUnheard(w *world) {
	first := w.order[0]
	for _, i := range []int{w.order[1], w.order[10]} {
		w.cut[first][i], w.cut[i][first], w.nodes[i].offline = true, true, true
	}
	join(w)
}

// restartMost kills all hosts at once; every third one in the tenant's order comes back soon and the others later.
func restartMost(later time.Duration) func(*world) {
	return func(w *world) {
		for i := range w.nodes {
			if restart(w, i, later); w.third(i) == 1 {
				restart(w, i, 300*time.Millisecond)
			}
		}
	}
}

// third returns 1 for every third host in the tenant's order, and 0 for the others.
func (w *world) third(i int) int { return max(1-slices.Index(w.order, i)%3, 0) }

// faults brings about random faults.
func faults(w *world, _ time.Duration) {
	i, j := w.random.IntN(len(w.nodes)), w.random.IntN(len(w.nodes))
	switch w.random.IntN(3000) {
	case 0:
		restart(w, i, time.Duration(w.random.IntN(3000))*time.Millisecond)
	case 1:
		w.nodes[i].upAt = max(w.nodes[i].upAt, w.now.Add(time.Duration(w.random.IntN(6000))*time.Millisecond))
	case 2:
		heal(w)
		w.cut[i][j], w.cut[j][i] = i != j, i != j
	case 3:
		heal(w)
		split(w)
	case 4:
		heal(w)
	case 5:
		cutRegions(w)
	case 6:
		heal(w)
		splitRegions(w)
	}
}

// restartOwners restarts the first owners.
var restartOwners = stopFirst(10, 20*time.Millisecond, true)

// scenarios are the courses of events in which the rule is checked.
var scenarios = map[string]scenario{
	"calm":              {hosts: 12, limit: Limit{300, 300}, demand: steady(2250), length: 12 * second},
	"after a pause":     {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second},
	"datagrams doubled": {hosts: 13, limit: Limit{300, 300}, demand: steady(900), length: 12 * second, doubled: 0.8, away: true},
	"datagrams lost":    {hosts: 12, limit: Limit{300, 300}, demand: steady(900), length: 12 * second, lost: 0.3, late: 0.2},
	"answers held up": {hosts: 13, limit: Limit{300, 300}, demand: steady(900), length: 14 * second, away: true,
		delay: func(at time.Duration) time.Duration { return max(0, 8*second-at) }},
	"callers leave": {hosts: 20, limit: Limit{300, 300}, demand: pulses(10*second, 2000), length: 16 * second, leave: 10 * second, away: true},
	"an owner cut off from the next": {hosts: 12, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: events{second: cutFirst(10)}},
	"two owners cut off from each other": {hosts: 12, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: events{second: cutFirst(1)}},
	"two hosts of three cut off from each other": {hosts: 3, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: events{second: cutFirst(1)}},
	"two regions of three cut off from each other": {hosts: 33, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: events{second: cutRegions}},
	"partition": {hosts: 13, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 20 * second,
		events: events{3 * second: split, 12 * second: heal}},
	"partition beyond the retention": {hosts: 24, limit: Limit{200, 2000}, demand: from(13*second, 4000), length: 20 * second,
		events: events{3 * second: split, 14 * second: heal}},
	"partition beyond the retention, a covered tenant": {hosts: 13, limit: Limit{2, 4}, demand: steady(40), length: 20 * second,
		events: events{3 * second: split, 14 * second: heal}},
	"three sides": {hosts: 21, limit: Limit{1000, 1000}, demand: from(3*second, 2500), length: 20 * second,
		events: events{3 * second: splitRegions, 15 * second: heal}},
	"three sides, a covered tenant": {hosts: 21, limit: Limit{2, 4}, demand: steady(40), length: 20 * second,
		events: events{3 * second: splitRegions, 15 * second: heal}},
	"hosts join": {hosts: 20, joins: 9, limit: Limit{1000, 1000}, demand: from(3*second, 2500), length: 10 * second,
		events: events{4 * second: join}},
	"a host joins unheard by an owner": {hosts: 20, joins: 1, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 10 * second,
		events: events{second: joinUnheard}},
	"most hosts are gone": {hosts: 22, limit: Limit{1000, 1000}, demand: from(3*second, 2500), length: 20 * second,
		events: events{4 * second: restartMost(time.Hour)}},
	"most hosts are gone for some time": {hosts: 22, limit: Limit{1000, 1000}, demand: from(3*second, 2500), length: 20 * second,
		events: events{4 * second: restartMost(4 * second), 10 * second: restartMost(9 * second)}},
	"owners restart": {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second,
		events: events{3500 * time.Millisecond: restartOwners, 4500 * time.Millisecond: restartOwners, 5500 * time.Millisecond: restartOwners}},
	"power loss": {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second,
		events: events{4 * second: stopFirst(12, 300*time.Millisecond, true), 6 * second: stopFirst(12, 300*time.Millisecond, true)}},
	"owners suspended": {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 18 * second,
		events: events{3500 * time.Millisecond: stopFirst(5, 6*second, false)}},
	"owners suspended shortly": {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 2500), length: 12 * second,
		events: events{3500 * time.Millisecond: stopFirst(5, 3*second, false)}},
	"owners suspended for long": {hosts: 13, limit: Limit{200, 2000}, demand: from(13*second, 4000), length: 18 * second,
		events: events{3500 * time.Millisecond: stopFirst(5, 10*second, false)}},
	"limit lowered": {hosts: 12, limit: Limit{1000, 1000}, demand: from(4*second, 4000), length: 16 * second,
		events: events{3 * second: func(w *world) { w.setLimit(Limit{20, 20}) }}},
	"faults, a large tenant": {hosts: 13, limit: Limit{1000, 1000}, demand: steady(3000), length: 20 * second, lost: 0.1, doubled: 0.1, late: 0.1, random: faults},
	"faults, a small tenant": {hosts: 13, limit: Limit{8, 8}, demand: steady(40), length: 20 * second, lost: 0.1, doubled: 0.1, late: 0.1, random: faults},
}

// TestModel checks the rule in every window of each scenario.
func TestModel(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newWorld(s, none, seed)
				if got := w.play(); got != "" {
					t.Errorf("seed %d: got %s", seed, got)
				}
				t.Logf("seed %d: %d of %d operations ran, %d refused", seed, len(w.spent), w.asked, w.refused)
			}
		})
	}
}

// TestModelFindsMutants checks that the model finds the loss of each guard.
func TestModelFindsMutants(t *testing.T) {
	tests := map[mutant]string{
		newPartsFull:      "owners restart",
		noExpiry:          "callers leave",
		countsDuplicates:  "datagrams doubled",
		noLapse:           "three sides",
		fullAfterLapse:    "partition beyond the retention",
		keptByLive:        "partition",
		allCovered:        "partition",
		keptByOne:         "a host joins unheard by an owner",
		validFromArrival:  "answers held up",
		ignoresLowerLimit: "limit lowered",
	}
	for m, name := range tests {
		t.Run(string(m), func(t *testing.T) {
			for seed := range uint64(3) {
				got := newWorld(scenarios[name], m, seed).play()
				if t.Log(got); got != "" {
					return
				}
			}
			t.Error("got no violation, want one")
		})
	}
}

// TestModelServes checks that in calm a tenant inside its limit is not refused, and that one over it gets its rate.
func TestModelServes(t *testing.T) {
	bursts := func(rate, burst float64) func(time.Duration) float64 { // the whole burst within 100 ms, every 2 s
		return func(at time.Duration) float64 {
			if at > second && at%(2*second) < 100*time.Millisecond {
				return burst * 10
			}
			return (rate/1.6*2 - burst) / 1.9
		}
	}
	thirdOnly := func(w *world, i int) bool { return w.third(i) == 1 }
	tests := map[string]struct {
		hosts   int
		limit   Limit
		demand  func(time.Duration) float64
		least   float64 // share of rate x time that runs
		refused bool
		events  events
		clients func(*world, int) bool
	}{
		"owners die":                 {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 0.55, events: events{second: stopFirst(3, time.Hour, true)}},
		"owners die, over the limit": {hosts: 33, limit: Limit{320, 320}, demand: steady(2000), least: 0.65, refused: true, events: events{second: stopFirst(3, time.Hour, true)}},
		"one of three hosts dies":    {hosts: 3, limit: Limit{320, 320}, demand: steady(200), least: 0.4, events: events{second: stopFirst(1, time.Hour, true)}},
		"a third is left": {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 1 / 3.0, refused: true,
			events: events{0: restartMost(time.Hour)}, clients: thirdOnly},
		"a third is cut off": {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 1 / 3.0, refused: true,
			events: events{0: func(w *world) { divide(w, w.third) }}, clients: thirdOnly},
		"a third is left, a covered tenant": {hosts: 33, limit: Limit{2, 2}, demand: steady(1.25), least: 1 / 3.0,
			events: events{0: restartMost(time.Hour)}, clients: thirdOnly},
		"the owners of a covered tenant die": {hosts: 33, limit: Limit{2, 2}, demand: from(5*second, 1.25), least: 0.3, events: events{second: stopFirst(4, time.Hour, true)}},
		"usual demand":                       {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 0.55},
		"bursts":                             {hosts: 12, limit: Limit{300, 300}, demand: bursts(300, 300), least: 0.5},
		"a small tenant":                     {hosts: 33, limit: Limit{8, 8}, demand: steady(5), least: 0.55},
		"a rate below one a second":          {hosts: 12, limit: Limit{0.5, 1}, demand: steady(0.3), least: 0.4},
		"one host":                           {hosts: 1, limit: Limit{100, 100}, demand: steady(62), least: 0.55},
		"over the limit":                     {hosts: 33, limit: Limit{300, 300}, demand: steady(2250), least: 0.95, refused: true},
		"a small one over the limit":         {hosts: 12, limit: Limit{8, 8}, demand: steady(60), least: 0.95, refused: true},
		"just over the limit":                {hosts: 12, limit: Limit{300, 300}, demand: steady(330), least: 0.95, refused: true},
		"at the limit":                       {hosts: 33, limit: Limit{300, 300}, demand: steady(300), least: 0.95},
		"one host over the limit":            {hosts: 1, limit: Limit{100, 100}, demand: steady(750), least: 0.95, refused: true},
		"two hosts over the limit":           {hosts: 2, limit: Limit{100, 100}, demand: steady(750), least: 0.95, refused: true},
		"a rate of zero":                     {hosts: 12, limit: Limit{0, 10}, demand: steady(50), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const length = 12 * second
			w := newWorld(scenario{hosts: test.hosts, limit: test.limit, demand: test.demand, length: length, events: test.events,
				clients: test.clients, retains: time.Minute}, none, 1)
			if got := w.play(); got != "" {
				t.Error(got)
			}
			served := float64(len(w.spent)) / (float64(test.limit.Rate) * length.Seconds())
			refused := w.refused[0] + w.refused[1] + w.refused[2]
			t.Logf("%.3f of rate x time ran, %d of %d refused", served, w.refused, w.asked)
			if served < test.least {
				t.Errorf("got %.3f of rate x time, want at least %.2f", served, test.least)
			}
			if got := refused > 0; got != test.refused {
				t.Errorf("got %d refused, want some: %v", w.refused, test.refused)
			}
		})
	}
}
