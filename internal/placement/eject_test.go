package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
)

// instanceIDs are the instances of the replays; the first is the primary.
var instanceIDs = []model.InstanceID{"i0", "i1", "i2"}

// instanceState is how an instance behaves at a moment.
type instanceState struct {
	fails   float64       // share of its statements
	lost    bool          // a failure shows as a time-out
	service time.Duration // of a statement
	avoid   bool          // its health check fails
}

// faultyReplay is the load of one host on instances that fail or are slow.
type faultyReplay struct {
	rate   float64 // reads per second
	behave func(instance int, at time.Duration) instanceState
}

// faultyOutcome is what a replay counted, from the tenth second on.
type faultyOutcome struct {
	reads, repeated, lost, ejections int
	byInstance                       [3]int // attempts
	answer                           time.Duration
}

const (
	faultySeconds = 60
	faultyService = 20 * time.Millisecond
	attemptLimit  = 400 * time.Millisecond
	faultBegins   = 10 * time.Second
)

// run replays 60 s; a nil group is a host without outlier detection. A read that fails is tried once more, on another instance.
func (r faultyReplay) run(group *outlier.Group[model.InstanceID]) (o faultyOutcome) {
	random := rand.New(rand.NewPCG(5, 6))
	point := model.Point{Term: 1, Position: 10}
	var expected [3]time.Duration
	for i, id := range instanceIDs {
		expected[i] = faultyService
		if group != nil {
			group.Add(id, 1)
		}
	}
	step := time.Duration(float64(time.Second) / r.rate)
	for at := time.Duration(0); at < faultySeconds*time.Second; at += step/2 + time.Duration(random.Int64N(int64(step))) {
		now := model.Instant(at + time.Hour)
		tried := [3]bool{}
		took := time.Duration(0)
		for attempt := range 2 {
			candidates := make([]Candidate, len(instanceIDs))
			for i, id := range instanceIDs {
				candidates[i] = Candidate{Instance: id, Primary: i == 0, Expected: expected[i], RoundTrip: sameRegionRoundTrip, Reached: point, Tried: tried[i]}
				candidates[i].Avoid = r.behave(i, at).avoid
			}
			required := Requirement{Now: now, MinPoint: point, PointKnown: true}
			probe := None
			if group != nil {
				probe = Restrict(candidates, required, group, attempt == 0)
			}
			i := ChooseForRead(candidates, required)
			if probe != None {
				i = probe
			}
			if i == None {
				i = ChoosePrimary(candidates)
			}
			if i == None {
				break
			}
			state := r.behave(i, at)
			response, outcome := state.service+time.Duration(random.Int64N(int64(faultyService)))/2, outlier.Answered
			if random.Float64() < state.fails {
				outcome = outlier.Failed
				if state.lost {
					response, outcome = attemptLimit, outlier.Lost
				}
			}
			expected[i] += (response - expected[i]) / 8
			took += response
			if group != nil {
				if _, ejected := group.Observe(now, instanceIDs[i], outcome); ejected {
					o.ejections++
				}
			}
			if at >= faultBegins {
				o.byInstance[i]++
			}
			if outcome == outlier.Answered {
				break
			}
			tried[i] = true
			if at >= faultBegins && attempt == 0 {
				o.repeated++
			} else if at >= faultBegins {
				o.lost++
			}
		}
		for i := range expected { // an estimate without samples falls, so that a slow instance is tried again
			expected[i] -= time.Duration(float64(expected[i]) * step.Seconds() / 4)
		}
		if at >= faultBegins {
			o.reads++
			o.answer += (took - o.answer) / time.Duration(o.reads)
		}
	}
	return o
}

// TestFaultyInstances guards against reads that keep going to an instance that fails or is slow, and against a detection that takes good
// instances out of use, or all at once.
func TestFaultyInstances(t *testing.T) {
	good := instanceState{service: faultyService}
	// only returns a behaviour in which one replica, or else every instance, behaves differently once the fault has begun.
	only := func(all bool, change func(s *instanceState, at time.Duration)) func(int, time.Duration) instanceState {
		return func(i int, at time.Duration) instanceState {
			s := good
			if at >= faultBegins && (all || i == 1) {
				change(&s, at)
			}
			return s
		}
	}
	grey := func(s *instanceState, _ time.Duration) { s.fails = 0.4 }
	silent := func(s *instanceState, _ time.Duration) { s.fails, s.lost = 0.4, true }
	slow := func(s *instanceState, _ time.Duration) { s.service *= 8 }
	flaps := func(s *instanceState, at time.Duration) {
		if at/time.Second%2 == 0 {
			s.fails = 1
		}
	}
	dead := func(s *instanceState, _ time.Duration) { s.fails = 1 }
	sick := func(s *instanceState, _ time.Duration) { s.avoid = true }
	type bounds struct {
		repeated float64 // greatest share of the repeated reads of a host without detection
		attempts float64 // least share of the attempts of the faulty replica, so that its recovery is noticed
		most     float64 // greatest share
		lost     float64 // greatest share of the reads that fail twice, beyond those of a host without detection
	}
	tests := map[string]struct {
		behave func(int, time.Duration) instanceState
		want   bounds
	}{
		"one fails two of five":                  {only(false, grey), bounds{repeated: 0.5, attempts: 0.01, most: 0.12}},
		"one times out two of five":              {only(false, silent), bounds{repeated: 1, attempts: 0.01, most: 0.12}},
		"one is eight times slower":              {only(false, slow), bounds{repeated: 1, most: 0.12}},
		"one flaps every second":                 {only(false, flaps), bounds{repeated: 0.6, attempts: 0.01, most: 0.25}},
		"one fails all, its health check passes": {only(false, dead), bounds{repeated: 0.5, attempts: 0.01, most: 0.12}},
		"one is good, its health check fails":    {only(false, sick), bounds{repeated: 1, most: 0.01}},
		"all fail two of five":                   {only(true, grey), bounds{repeated: 1.1, attempts: 0.15, most: 0.7, lost: 0.03}},
		"all time out two of five":               {only(true, silent), bounds{repeated: 1.1, attempts: 0.15, most: 0.7, lost: 0.03}},
		"all are eight times slower":             {only(true, slow), bounds{repeated: 1, attempts: 0.3, most: 0.7}},
		"all flap every second":                  {only(true, flaps), bounds{repeated: 1.1, attempts: 0.15, most: 0.7, lost: 0.03}},
		"all fail all, their health checks pass": {only(true, dead), bounds{repeated: 1.01, attempts: 0.15, most: 0.7, lost: 0.01}},
		"all are good, their health checks fail": {only(true, sick), bounds{repeated: 1}},
		"none is faulty":                         {only(false, func(*instanceState, time.Duration) {}), bounds{repeated: 1, attempts: 0.3, most: 0.7}},
		"all fail one of fifty":                  {only(true, func(s *instanceState, _ time.Duration) { s.fails = 0.02 }), bounds{repeated: 1.3, attempts: 0.15, most: 0.7, lost: 0.01}},
		"one fails two of five, and the link is bad": {func(i int, at time.Duration) instanceState {
			s := only(false, grey)(i, at)
			s.fails = max(s.fails, 0.05)
			return s
		}, bounds{repeated: 0.8, attempts: 0.01, most: 0.25}},
	}
	for name, test := range tests {
		for rate, words := range map[float64]string{50: "busy host", 3: "host with few reads"} {
			t.Run(name+", "+words, func(t *testing.T) {
				r := faultyReplay{rate: rate, behave: test.behave}
				off := r.run(nil)
				on := r.run(outlier.New[model.InstanceID]())
				attempts := float64(on.byInstance[1]) / float64(on.byInstance[0]+on.byInstance[1]+on.byInstance[2])
				t.Logf("off %+v, on %+v", off, on)
				if rate < 10 { // few outcomes in the window, so that only harm is ruled out
					if on.repeated > off.repeated+2 || on.lost > off.lost+2 {
						t.Errorf("got %d reads repeated and %d failing twice, want no more than %d and %d", on.repeated, on.lost, off.repeated, off.lost)
					}
					return
				}
				if got, most := float64(on.repeated), float64(off.repeated)*test.want.repeated+0.01*float64(on.reads); got > most {
					t.Errorf("got %v reads repeated, want at most %v", got, most)
				}
				if attempts < test.want.attempts || attempts > max(test.want.most, 0.001) {
					t.Errorf("got a share of %.3f for the replica, want %v to %v", attempts, test.want.attempts, test.want.most)
				}
				if got, most := float64(on.lost)/float64(on.reads), float64(off.lost)/float64(off.reads)+test.want.lost; got > most {
					t.Errorf("got %.3f of the reads failing twice, want at most %.3f", got, most)
				}
			})
		}
	}
}

// TestRestrict guards against a read that finds no instance because too many are ejected, or that an ejected primary can't serve at all.
func TestRestrict(t *testing.T) {
	now := model.Instant(time.Hour)
	point := model.Point{Term: 1, Position: 10}
	candidate := func(id model.InstanceID, change func(*Candidate)) Candidate {
		c := Candidate{Instance: id, Reached: point, Expected: ms(10), RoundTrip: ms(1)}
		if change != nil {
			change(&c)
		}
		return c
	}
	primary := func(c *Candidate) { c.Primary = true }
	avoided := func(c *Candidate) { c.Avoid = true }
	tests := map[string]struct {
		candidates []Candidate
		failing    []model.InstanceID // ejected
		late       bool               // all others have failed as much since
		want       []model.InstanceID // left out
	}{
		"none ejected":                          {candidates: []Candidate{candidate("i0", primary), candidate("i1", nil), candidate("i2", nil)}},
		"one of three":                          {candidates: []Candidate{candidate("i0", primary), candidate("i1", nil), candidate("i2", nil)}, failing: []model.InstanceID{"i1"}, want: []model.InstanceID{"i1"}},
		"the primary of three":                  {candidates: []Candidate{candidate("i0", primary), candidate("i1", nil), candidate("i2", nil)}, failing: []model.InstanceID{"i0"}, want: []model.InstanceID{"i0"}},
		"one of two that could serve":           {candidates: []Candidate{candidate("i0", primary), candidate("i1", nil), candidate("i2", avoided)}, failing: []model.InstanceID{"i1"}, want: []model.InstanceID{"i1"}},
		"the only one that could serve is kept": {candidates: []Candidate{candidate("i0", avoided), candidate("i1", nil), candidate("i2", avoided)}, failing: []model.InstanceID{"i1"}},
		"one that can't serve doesn't count":    {candidates: []Candidate{candidate("i0", primary), candidate("i1", avoided), candidate("i2", nil)}, failing: []model.InstanceID{"i1"}},
		"kept when the others fail as much":     {candidates: []Candidate{candidate("i0", primary), candidate("i1", nil), candidate("i2", nil)}, failing: []model.InstanceID{"i1"}, late: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			group := outlier.New[model.InstanceID]()
			for _, id := range instanceIDs {
				group.Add(id, 1)
				for range 20 {
					group.Observe(now, id, outlier.Answered)
				}
			}
			for _, id := range test.failing {
				for range 20 {
					group.Observe(now, id, outlier.Failed)
				}
			}
			if test.late {
				for range 10 {
					group.Observe(now, "i0", outlier.Failed)
					group.Observe(now, "i2", outlier.Failed)
				}
			}
			probe := Restrict(test.candidates, Requirement{Now: now, MinPoint: point, PointKnown: true}, group, true)
			var got []model.InstanceID
			for i := range test.candidates {
				if test.candidates[i].Ejected {
					got = append(got, test.candidates[i].Instance)
				}
			}
			if !slices.Equal(got, test.want) || probe != None {
				t.Errorf("got %v left out and probe %d, want %v and none", got, probe, test.want)
			}
		})
	}
}

// BenchmarkRestrict is the choice for a read with outlier detection while one instance is ejected.
func BenchmarkRestrict(b *testing.B) {
	point := model.Point{Term: 1, Position: 10}
	group := outlier.New[model.InstanceID]()
	for i, id := range instanceIDs {
		group.Add(id, 1)
		for range 20 {
			group.Observe(model.Instant(time.Hour), id, outlier.Outcome(i/2))
		}
	}
	required := Requirement{Now: model.Instant(time.Hour), MinPoint: point, PointKnown: true}
	b.ReportAllocs()
	for b.Loop() {
		var candidates [3]Candidate
		for i, id := range instanceIDs {
			candidates[i] = Candidate{Instance: id, Primary: i == 0, Expected: ms(10), Reached: point}
		}
		Restrict(candidates[:], required, group, true)
		ChooseForRead(candidates[:], required)
	}
}
