package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestReplay compares the decision with costs with the one without, on patterns of load. In all of them hardly fewer reads may be
// answered in time, far fewer may cross, the share may turn only so often, and the mean time to an answer has a bound that a decision
// which never leaves a home with an instance doesn't keep where one data centre alone is over its room.
func TestReplay(t *testing.T) {
	noPrimary := func(_ int, _ time.Duration, c []Candidate) { c[2].Tried = true }
	tests := map[string]struct {
		replay
		crossings int // at most, in percent of those without costs
		turns     int // of both shares together, at most
		answer    int // mean time to an answer in milliseconds, at most
	}{
		// Guards against crossings for a gain that nobody notices.
		"usual load": {replay{seconds: 20, rate: steady(0.7, 0.7)}, 0, 0, 30},
		// Guards against a home that refuses work while others have room, and against a share that swings.
		"one over its room": {replay{seconds: 30, rate: steady(1.3, 0.4)}, 40, 3, 60},
		// Guard against overloaded data centres that swap their load.
		"all over":                    {replay{seconds: 30, rate: steady(1.9, 1.9)}, 75, 30, 230},
		"all over, primary full":      {replay{seconds: 30, rate: steady(1.9, 1.9), change: noPrimary}, 45, 30, 270},
		"all just over, primary full": {replay{seconds: 30, rate: steady(1.1, 1.1), change: noPrimary}, 20, 20, 145},
		// Guards against a share that follows the load too late, and then leaves when home has room again: a begin, a fall and an end
		// for each data centre in each of four periods.
		"two over by turns": {replay{seconds: 52, change: noPrimary, rate: func(centre int, at time.Duration) [model.RankCount]float64 {
			if (at%(13*time.Second) < 13*time.Second/2) == (centre == 0) {
				return steady(0.45, 0.45)(centre, at)
			}
			return steady(1.35, 1.35)(centre, at)
		}}, 45, 24, 75},
		// Guards against reads that leave although the way is slower than the queue at home.
		"an edge turns slow": {replay{seconds: 30, rate: steady(1.3, 0.4), slow: func(at time.Duration) time.Duration {
			if between(at, 10, 20) {
				return 300 * time.Millisecond
			}
			return 0
		}}, 50, 6, 100},
		// Guards against reads that wait for a share before they leave a home that can't serve them, and that don't return to it.
		"replicas behind at home only": {replay{seconds: 30, rate: steady(0.5, 0.3), change: func(centre int, at time.Duration, c []Candidate) {
			if between(at, 10, 20) && centre == 0 {
				c[0].Reached.Position, c[0].Lag = 5, 2*time.Second
			}
		}}, 40, 0, 30},
		"home lost and back": {replay{seconds: 30, rate: steady(0.5, 0.3), change: func(_ int, at time.Duration, c []Candidate) {
			c[0].Avoid = between(at, 10, 20)
		}}, 45, 0, 30},
		// Guards against a burst of the least urgent work that is answered late, or takes other data centres with it.
		"burst of the least urgent": {replay{seconds: 26, rate: func(centre int, at time.Duration) [model.RankCount]float64 {
			rates := steady(0.8, 0.4)(centre, at)
			if centre == 0 && between(at, 10, 16) {
				rates[model.RankThree.Index()] *= 2.4
			}
			return rates
		}}, 20, 3, 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			free, got := test.run(Costs{}), test.run(Costs{Centre: ms(20), Region: ms(50)})
			t.Logf("without costs %+v, with %+v", free, got)
			if want := free.inTime - free.reads/200; got.inTime < want {
				t.Errorf("got %d in time, want at least %d", got.inTime, want)
			}
			if want := free.crossings * test.crossings / 100; got.crossings > want {
				t.Errorf("got %d crossings, want at most %d", got.crossings, want)
			}
			if want := ms(test.answer); got.answer > want {
				t.Errorf("got a mean of %v to an answer, want at most %v", got.answer, want)
			}
			if got.changes > test.turns {
				t.Errorf("got %d turns of the share, want at most %d", got.changes, test.turns)
			}
		})
	}
}

// TestChooseWithoutCosts guards against a change of the decision where no costs are set.
func TestChooseWithoutCosts(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	now := model.Instant(time.Hour)
	candidates := make([]Candidate, 6)
	for range 20000 {
		for i := range candidates {
			candidates[i] = Candidate{
				Primary: i == 0, Avoid: random.IntN(8) == 0, Tried: random.IntN(8) == 0, Edge: Edge(random.IntN(EdgeCount)),
				Expected: ms(random.IntN(200)), RoundTrip: ms(random.IntN(30)), Lag: ms(random.IntN(900)),
				Reached: model.Point{Term: 1, Position: model.Position(random.IntN(4))}, BehindUntil: now.Add(ms(random.IntN(100) - 50)),
			}
		}
		read := Read{Requirement{now, model.Point{Term: 1, Position: 2}, random.IntN(9) > 0, now.Add(-ms(random.IntN(900)))}, model.RankOne, ms(500)}
		if got, want := Choose(candidates, &read, Costs{}, &Spill{}).Index, ChooseForRead(candidates, read.Requirement); got != want {
			t.Fatalf("got %d, want %d of %+v for %+v", got, want, candidates, read)
		}
	}
}

// TestChooseReasons guards against reads that leave without a gain, or for a wrong reason in the metrics.
func TestChooseReasons(t *testing.T) {
	now, point := model.Instant(time.Hour), model.Point{Term: 1, Position: 10}
	home := Candidate{Expected: ms(10), Reached: point}
	region := Candidate{Expected: ms(40), Reached: point, Edge: EdgeRegion}
	slow := Candidate{Expected: ms(130), Reached: point}
	tests := map[string]struct {
		candidates []Candidate
		want       Choice
	}{
		"none":                       {nil, Choice{Index: None}},
		"home":                       {[]Candidate{home, region}, Choice{}},
		"home although slower":       {[]Candidate{{Expected: ms(80), Reached: point}, region}, Choice{}},
		"gain below the edge's cost": {[]Candidate{slow, {Expected: ms(75), Reached: point, Edge: EdgeRegion}}, Choice{}},
		"share of the goal":          {[]Candidate{slow, region}, Choice{Index: 1, Edge: EdgeRegion, Reason: ReasonShare}},
		"late":                       {[]Candidate{{Expected: ms(520), Reached: point}, {Expected: ms(490), Reached: point, Edge: EdgeCentre}}, Choice{Index: 1, Edge: EdgeCentre, Reason: ReasonLate}},
		"tried":                      {[]Candidate{{Tried: true, Reached: point}, region}, Choice{Index: 1, Edge: EdgeRegion, Reason: ReasonOnly}},
		"behind":                     {[]Candidate{{Lag: time.Minute}, region}, Choice{Index: 1, Edge: EdgeRegion, Reason: ReasonBehind}},
		"nearest":                    {[]Candidate{{Expected: ms(30), Reached: point, Edge: EdgeRegion}, {Expected: ms(40), Reached: point, Edge: EdgeCentre}}, Choice{Index: 1, Edge: EdgeCentre, Reason: ReasonOnly}},
		"likely behind":              {[]Candidate{{Expected: ms(90), Lag: ms(900)}, region}, Choice{Index: 1, Edge: EdgeRegion, Reason: ReasonShare}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			read := Read{Requirement{now, point, true, now.Add(-time.Second)}, model.RankOne, ms(500)}
			if got := Choose(test.candidates, &read, Costs{ms(20), ms(60)}, nil); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestSpillUrgentFirst guards against shares that jump, and against less urgent reads that leave while more urgent ones are held.
func TestSpillUrgentFirst(t *testing.T) {
	var spill Spill
	var left [model.RankCount]int
	last := spill.Share()
	for i := range 1500 { // in 1.5 s, five steps
		rank := model.Rank(i%model.RankCount + 1)
		if leaves, _ := spill.Admit(model.Instant(time.Hour+ms(i)), rank, 50, true); leaves {
			left[rank.Index()]++
		}
		if got := spill.Share(); got != last && got != last+spillRise {
			t.Fatalf("got a share of %d after %d, want a step of %d", got, last, spillRise)
		}
		last = spill.Share()
	}
	if last != 50 || left[0] < 240 || left[1] == 0 || left[1] > 60 || left[2] != 0 {
		t.Errorf("got a share of %d and %v reads by rank, want 50, mostly the first, and none of the last", last, left)
	}
}

func BenchmarkChoose(b *testing.B) {
	point := model.Point{Term: 1, Position: 10}
	candidates := []Candidate{{Primary: true, Expected: ms(10), Edge: EdgeRegion}, {Expected: ms(90), Lag: ms(90)}, {Expected: ms(8), Reached: point, Edge: EdgeCentre}}
	var spill Spill
	read := Read{Requirement{MinPoint: point, PointKnown: true}, model.RankTwo, ms(500)}
	b.ReportAllocs()
	for b.Loop() {
		read.Now++
		Choose(candidates, &read, Costs{ms(1), ms(2)}, &spill)
	}
}
