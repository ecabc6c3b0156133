package upperbound

import (
	"errors"
	"math"
	"testing"
	"time"

	"redwingspread/internal/model"
)

const ms = time.Millisecond

// small returns a deployment of one database of three instances with two slots each, with kinds and phases.
func small(kinds []Kind, phases ...Phase) Sizes {
	return Sizes{Databases: 1, Instances: 3, Slots: 2, Connections: 10, Trip: 10 * ms, Kinds: kinds, Phases: phases}
}

// kind returns a kind of work of 20 ms, of which a fifth are writes.
func kind(name model.KindID, rate model.Rate, changes ...func(*Kind)) Kind {
	k := Kind{Name: name, Rate: rate, Work: 20 * ms, Writes: 0.2, Goal: time.Second, Deadline: time.Second, Value: 1}
	for _, change := range changes {
		change(&k)
	}
	return k
}

// TestWorkedExamples guards against a bound that is too low, by which no result could be judged, and one that leaves out a resource. Each
// example can be calculated by hand: capacity until the goal after the end of the phase, over what arrived.
func TestWorkedExamples(t *testing.T) {
	tenSeconds := Phase{Name: "p", Length: 10 * time.Second}
	tests := map[string]struct {
		sizes      Sizes
		phase      int
		uses       map[Resource][2]float64 // demand and capacity
		bottleneck Resource
		inTime     []float64
		late       []float64 // nil for none
		value      float64
	}{
		"below capacity": {
			sizes:      small([]Kind{kind("a", 100)}, tenSeconds),
			uses:       map[Resource][2]float64{Slots: {2, 6}, PrimarySlots: {0.4, 2}, Connections: {3, 30}},
			bottleneck: Slots, inTime: []float64{1}, value: 1,
		},
		"twice the capacity: 6 slots for 11 s of 12 for 10 s": {
			sizes:      small([]Kind{kind("a", 600)}, tenSeconds),
			uses:       map[Resource][2]float64{Slots: {12, 6}, PrimarySlots: {2.4, 2}, Connections: {18, 30}},
			bottleneck: Slots, inTime: []float64{66.0 / 120}, value: 66.0 / 120,
		},
		"late answers in the two seconds up to the deadline": {
			sizes:      small([]Kind{kind("a", 600, func(k *Kind) { k.Deadline, k.Late = 3*time.Second, 0.5 })}, tenSeconds),
			bottleneck: Slots, inTime: []float64{66.0 / 120}, late: []float64{12.0 / 120}, value: (66 + 0.5*12) / 120.0,
		},
		"writes: 2 slots of the primary for 11 s of 4 for 10 s": {
			sizes:      small([]Kind{kind("a", 200, func(k *Kind) { k.Writes = 1 })}, tenSeconds),
			uses:       map[Resource][2]float64{Slots: {4, 6}, PrimarySlots: {4, 2}, Connections: {6, 30}},
			bottleneck: PrimarySlots, inTime: []float64{22.0 / 40}, value: 22.0 / 40,
		},
		"connections: 3 for 11 s of 6 for 10 s": {
			sizes: func() Sizes {
				s := small([]Kind{kind("a", 60)}, tenSeconds)
				s.Connections, s.Trip = 1, 80*ms
				return s
			}(),
			uses:       map[Resource][2]float64{Slots: {1.2, 6}, PrimarySlots: {0.24, 2}, Connections: {6, 3}},
			bottleneck: Connections, inTime: []float64{33.0 / 60}, value: 33.0 / 60,
		},
		"the more valuable kind first": {
			sizes:      small([]Kind{kind("a", 300), kind("b", 300, func(k *Kind) { k.Value = 3 })}, tenSeconds),
			bottleneck: Slots, inTime: []float64{6.0 / 60, 1}, value: (6 + 180) / 240.0,
		},
		"by value for the slot time": {
			sizes: small([]Kind{kind("a", 150, func(k *Kind) { k.Value, k.Work = 2, 40*ms }), kind("b", 300, func(k *Kind) { k.Value, k.Work = 1.5, 10*ms })},
				tenSeconds),
			bottleneck: Slots, inTime: []float64{36.0 / 60, 1}, value: (0.6*3000 + 4500) / 7500,
		},
		"a kind with more time gets what the others can't use": {
			sizes:      small([]Kind{kind("a", 330), kind("b", 300, func(k *Kind) { k.Goal, k.Deadline = 4*time.Second, 4*time.Second })}, tenSeconds),
			bottleneck: Slots, inTime: []float64{1, 18.0 / 60}, value: (3300 + 900) / 6300.0,
		},
		"a burst": {
			sizes:      small([]Kind{kind("a", 300)}, Phase{Name: "p", Length: 10 * time.Second, Factor: map[model.KindID]float64{"a": 2}}),
			bottleneck: Slots, inTime: []float64{66.0 / 120}, value: 66.0 / 120,
		},
		"a kind that does not arrive": {
			sizes:      small([]Kind{kind("a", 300), kind("b", 10)}, Phase{Name: "p", Length: 10 * time.Second, Factor: map[model.KindID]float64{"b": 0}}),
			bottleneck: Slots, inTime: []float64{1, 0}, value: 1,
		},
		"one lost and one slow instance: 2 and 1 slots": {
			sizes:      small([]Kind{kind("a", 100)}, Phase{Name: "p", Length: 10 * time.Second, Lost: 1, Slow: 1, Slowness: 2}),
			uses:       map[Resource][2]float64{Slots: {2, 3}, PrimarySlots: {0.4, 2}, Connections: {3, 20}},
			bottleneck: Slots, inTime: []float64{1}, value: 1,
		},
		"all instances slow, the primary included": {
			sizes: small([]Kind{kind("a", 100, func(k *Kind) { k.Writes = 1 })}, Phase{Name: "p", Length: 10 * time.Second, Slow: 3, Slowness: 4},
				Phase{Name: "q", Start: 10 * time.Second, Length: time.Second, Slow: 3, Slowness: 4}),
			uses:       map[Resource][2]float64{Slots: {2, 1.5}, PrimarySlots: {2, 0.5}, Connections: {3, 30}},
			bottleneck: PrimarySlots, inTime: []float64{5.5 / 20}, value: 5.5 / 20,
		},
		"no instance for the whole phase, and all for a second after it": {
			sizes:      small([]Kind{kind("a", 100)}, Phase{Name: "p", Length: 10 * time.Second, Lost: 3}),
			uses:       map[Resource][2]float64{Slots: {2, 0}, PrimarySlots: {0.4, 0}, Connections: {3, 0}},
			bottleneck: Connections, inTime: []float64{6.0 / 20}, value: 6.0 / 20,
		},
		"instances that come back in the next phase": {
			sizes: small([]Kind{kind("a", 200)}, Phase{Name: "p", Length: 10 * time.Second, Lost: 2},
				Phase{Name: "q", Start: 10500 * ms, Length: 10 * time.Second, Lost: 1}),
			bottleneck: Slots, inTime: []float64{(20 + 3 + 2) / 40.0}, value: 25.0 / 40,
		},
		"work that takes longer than its goal": {
			sizes:      small([]Kind{kind("a", 1, func(k *Kind) { k.Work, k.Deadline, k.Late = 2*time.Second, 3*time.Second, 0.2 })}, tenSeconds),
			bottleneck: Slots, inTime: []float64{0}, late: []float64{1}, value: 0.2,
		},
		"the second phase": {
			sizes: small([]Kind{kind("a", 300)}, tenSeconds,
				Phase{Name: "q", Start: 10 * time.Second, Length: 10 * time.Second, Factor: map[model.KindID]float64{"a": 2}}),
			phase: 1, bottleneck: Slots, inTime: []float64{66.0 / 120}, value: 66.0 / 120,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := test.sizes.Check(); err != nil {
				t.Fatal(err)
			}
			got := test.sizes.Calculate().Phases[test.phase]
			for _, use := range got.Uses {
				if want, found := test.uses[use.Resource]; found && !(near(use.Demand, want[0]) && near(use.Capacity, want[1])) {
					t.Errorf("%s: got %v of %v, want %v", use.Resource, use.Demand, use.Capacity, want)
				}
			}
			if got.Bottleneck != test.bottleneck {
				t.Errorf("got bottleneck %s, want %s", got.Bottleneck, test.bottleneck)
			}
			for i, share := range got.Shares {
				late := 0.0
				if test.late != nil {
					late = test.late[i]
				}
				if !near(share.InTime, test.inTime[i]) || !near(share.Late, late) {
					t.Errorf("kind %s: got %v in time and %v late, want %v and %v", share.Kind, share.InTime, share.Late, test.inTime[i], late)
				}
			}
			if !near(got.Value, test.value) {
				t.Errorf("got value %v, want %v", got.Value, test.value)
			}
		})
	}
}

// near reports whether two numbers are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// TestTotal guards against means of the phases that don't count their length and arrivals.
func TestTotal(t *testing.T) {
	sizes := small([]Kind{kind("a", 300)}, Phase{Name: "p", Length: 30 * time.Second},
		Phase{Name: "q", Start: 30 * time.Second, Length: 10 * time.Second, Factor: map[model.KindID]float64{"a": 2}})
	got := sizes.Calculate().Total
	if use := got.Uses[0]; !near(use.Demand, (6*30+12*10)/40.0) || !near(use.Capacity, 6) || got.Length != 40 {
		t.Errorf("got %+v over %v s, want a demand of 7.5 of 6 over 40 s", use, got.Length)
	}
	if share := got.Shares[0]; !near(share.Arrived, 15000) || !near(share.InTime, (9000+3300)/15000.0) || !near(got.Value, 0.82) {
		t.Errorf("got %+v and value %v, want 0.82 of 15000 in time", share, got.Value)
	}
}

// TestCheck guards against a bound that is calculated from sizes that make no sense.
func TestCheck(t *testing.T) {
	phase := Phase{Name: "p", Length: time.Second}
	tests := map[string]struct {
		change func(*Sizes)
		want   error
	}{
		"valid":                      {change: func(*Sizes) {}},
		"no slots":                   {change: func(s *Sizes) { s.Slots = 0 }, want: errNoCapacity},
		"a kind twice":               {change: func(s *Sizes) { s.Kinds = append(s.Kinds, s.Kinds[0]) }, want: errKind},
		"a rate that is no number":   {change: func(s *Sizes) { s.Kinds[0].Rate = model.Rate(math.NaN()) }, want: errKind},
		"more writes than all":       {change: func(s *Sizes) { s.Kinds[0].Writes = 1.1 }, want: errKind},
		"a deadline before the goal": {change: func(s *Sizes) { s.Kinds[0].Deadline = 1 }, want: errKind},
		"phases that overlap":        {change: func(s *Sizes) { s.Phases = append(s.Phases, phase) }, want: errOrder},
		"more lost than there are":   {change: func(s *Sizes) { s.Phases[0].Lost = 4 }, want: errPhase},
		"slow by no factor":          {change: func(s *Sizes) { s.Phases[0].Slow = 1 }, want: errPhase},
		"a factor of no kind":        {change: func(s *Sizes) { s.Phases[0].Factor = map[model.KindID]float64{"x": 1} }, want: errUnknown},
		"a factor below zero":        {change: func(s *Sizes) { s.Phases[0].Factor = map[model.KindID]float64{"a": -1} }, want: errPhase},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sizes := small([]Kind{kind("a", 100)}, phase)
			test.change(&sizes)
			if err := sizes.Check(); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
