package allowance

import (
	"math"
	"slices"
	"testing"
	"time"
)

const second = time.Second

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

// allRestart stops all hosts at once.
func allRestart(w *world) {
	for i := range w.nodes {
		restart(w, i, 300*time.Millisecond)
	}
}

// restartKeepers restarts the first keepers.
func restartKeepers(w *world) {
	for _, i := range w.order[:10] {
		restart(w, i, 20*time.Millisecond)
	}
}

// split cuts the first keepers off from the other hosts, which notice that earlier than they do.
func split(w *world) {
	side := w.order[:(len(w.nodes)-1)/2]
	for i, n := range w.nodes {
		for j := range w.nodes {
			if in := slices.Contains(side, i); in != slices.Contains(side, j) {
				w.cut[i][j] = true
				if n.dead[j] = 1200 * time.Millisecond; in {
					n.dead[j] = 3500 * time.Millisecond
				}
			}
		}
	}
}

// heal mends all links.
func heal(w *world) {
	for _, links := range w.cut {
		clear(links)
	}
}

// cutFirst returns an event that cuts the link between the first keeper and another host of the order.
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

// suspendKeepers suspends some of the first keepers.
func suspendKeepers(w *world) {
	for _, i := range w.order[:5] {
		w.nodes[i].upAt = w.now.Add(6 * second)
	}
}

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
	}
}

// scenarios are the courses of events in which the rule is checked.
var scenarios = map[string]scenario{
	"calm":              {hosts: 12, limit: Limit{300, 300}, demand: steady(2250), length: 12 * second},
	"after a pause":     {hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second},
	"datagrams doubled": {hosts: 13, limit: Limit{300, 300}, demand: steady(900), length: 12 * second, doubled: 0.8, away: true},
	"datagrams lost":    {hosts: 12, limit: Limit{300, 300}, demand: steady(900), length: 12 * second, lost: 0.3, late: 0.2},
	"answers held up": {
		hosts: 13, limit: Limit{300, 300}, demand: steady(900), length: 14 * second, away: true,
		delay: func(at time.Duration) time.Duration { return max(0, 8*second-at) },
	},
	"callers leave": {
		hosts: 20, limit: Limit{300, 300}, demand: pulses(10*second, 2000), length: 16 * second, leave: 10 * second, away: true,
	},
	"a keeper cut off from the next": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: map[time.Duration]func(*world){second: cutFirst(10)},
	},
	"two keepers cut off from each other": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: map[time.Duration]func(*world){second: cutFirst(1)},
	},
	"two hosts of three cut off from each other": {
		hosts: 3, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: map[time.Duration]func(*world){second: cutFirst(1)},
	},
	"two regions of three cut off from each other": {
		hosts: 33, limit: Limit{1000, 1000}, demand: from(8*second, 3000), length: 18 * second,
		events: map[time.Duration]func(*world){second: cutRegions},
	},
	"partition": {
		hosts: 13, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 20 * second,
		events: map[time.Duration]func(*world){3 * second: split, 12 * second: heal},
	},
	"keepers restart": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second,
		events: map[time.Duration]func(*world){
			3500 * time.Millisecond: restartKeepers, 4500 * time.Millisecond: restartKeepers, 5500 * time.Millisecond: restartKeepers,
		},
	},
	"power loss": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 12 * second,
		events: map[time.Duration]func(*world){4 * second: allRestart, 6 * second: allRestart},
	},
	"keepers suspended": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(3*second, 4000), length: 18 * second,
		events: map[time.Duration]func(*world){3500 * time.Millisecond: suspendKeepers},
	},
	"limit lowered": {
		hosts: 12, limit: Limit{1000, 1000}, demand: from(4*second, 4000), length: 16 * second,
		events: map[time.Duration]func(*world){3 * second: func(w *world) { w.setLimit(Limit{20, 20}) }},
	},
	"faults, a large tenant": {
		hosts: 13, limit: Limit{1000, 1000}, demand: steady(3000), length: 20 * second, lost: 0.1, doubled: 0.1, late: 0.1, random: faults,
	},
	"faults, a small tenant": {
		hosts: 13, limit: Limit{8, 8}, demand: steady(40), length: 20 * second, lost: 0.1, doubled: 0.1, late: 0.1, random: faults,
	},
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
		newPartsFull:      "keepers restart",
		noExpiry:          "callers leave",
		countsDuplicates:  "datagrams doubled",
		noMajority:        "partition",
		keptByOne:         "two keepers cut off from each other",
		validFromArrival:  "answers held up",
		noHandover:        "partition",
		noVotes:           "two regions of three cut off from each other",
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

// deathOf returns the death of the first keepers.
func deathOf(count int) map[time.Duration]func(*world) {
	return map[time.Duration]func(*world){second: func(w *world) {
		for _, i := range w.order[:count] {
			w.nodes[i].upAt = math.MaxInt64
		}
	}}
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
	tests := map[string]struct {
		hosts   int
		limit   Limit
		demand  func(time.Duration) float64
		least   float64 // share of rate x time that runs
		refused bool
		events  map[time.Duration]func(*world)
	}{
		"keepers die":                 {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 0.55, events: deathOf(3)},
		"keepers die, over the limit": {hosts: 33, limit: Limit{320, 320}, demand: steady(2000), least: 0.85, refused: true, events: deathOf(3)},
		"one of three hosts dies":     {hosts: 3, limit: Limit{320, 320}, demand: steady(200), least: 0.4, events: deathOf(1)},
		"usual demand":                {hosts: 33, limit: Limit{320, 320}, demand: steady(200), least: 0.55},
		"bursts":                      {hosts: 12, limit: Limit{300, 300}, demand: bursts(300, 300), least: 0.5},
		"a small tenant":              {hosts: 33, limit: Limit{8, 8}, demand: steady(5), least: 0.55},
		"a rate below one a second":   {hosts: 12, limit: Limit{0.5, 1}, demand: steady(0.3), least: 0.4},
		"one host":                    {hosts: 1, limit: Limit{100, 100}, demand: steady(62), least: 0.55},
		"over the limit":              {hosts: 33, limit: Limit{300, 300}, demand: steady(2250), least: 0.95, refused: true},
		"a small one over the limit":  {hosts: 12, limit: Limit{8, 8}, demand: steady(60), least: 0.95, refused: true},
		"just over the limit":         {hosts: 12, limit: Limit{300, 300}, demand: steady(330), least: 0.95, refused: true},
		"at the limit":                {hosts: 33, limit: Limit{300, 300}, demand: steady(300), least: 0.95},
		"one host over the limit":     {hosts: 1, limit: Limit{100, 100}, demand: steady(750), least: 0.95, refused: true},
		"two hosts over the limit":    {hosts: 2, limit: Limit{100, 100}, demand: steady(750), least: 0.95, refused: true},
		"a rate of zero":              {hosts: 12, limit: Limit{0, 10}, demand: steady(50), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const length = 12 * second
			w := newWorld(scenario{hosts: test.hosts, limit: test.limit, demand: test.demand, length: length, events: test.events}, none, 1)
			if got := w.play(); got != "" {
				t.Error(got)
			}
			served := float64(len(w.spent)) / (float64(test.limit.Rate) * length.Seconds())
			t.Logf("%.3f of rate x time ran, %d of %d refused", served, w.refused, w.asked)
			if served < test.least {
				t.Errorf("got %.3f of rate x time, want at least %.2f", served, test.least)
			}
			if got := w.refused > 0; got != test.refused {
				t.Errorf("got %d refused, want some: %v", w.refused, test.refused)
			}
		})
	}
}
