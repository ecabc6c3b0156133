package outlier

import (
	"math"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// step is a number of outcomes of an instance, one every interval.
type step struct {
	id       string
	answered int
	failed   int
	interval time.Duration
}

// start is the time at which the tests begin.
const start = model.Instant(time.Hour)

// play adds the outcomes of each step, failures last, and returns the ejected instances and the time at the end.
func play(g *Group[string], now model.Instant, steps []step) (ejected []string, end model.Instant) {
	for _, s := range steps {
		for i := range s.answered + s.failed {
			outcome := Answered
			if i >= s.answered {
				outcome = Failed
			}
			if _, out := g.Observe(now, s.id, outcome); out {
				ejected = append(ejected, s.id)
			}
			now = now.Add(s.interval)
		}
	}
	return ejected, now
}

// newGroup returns a group of instances.
func newGroup(ids ...string) *Group[string] {
	g := New[string]()
	for _, id := range ids {
		g.Add(id, 1)
	}
	return g
}

// TestEjection guards against an ejection for chance failures, of instances that are no worse than the others, and of too many at once.
func TestEjection(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, time.Second
	good := []step{{"a", 20, 0, fast}, {"b", 20, 0, fast}}
	tests := map[string]struct {
		members []string
		steps   []step
		want    int
	}{
		"none fails":                          {steps: append(good, step{"c", 20, 0, fast})},
		"fails two of five":                   {steps: append(good, step{"c", 12, 8, fast}), want: 1},
		"fails all":                           {steps: append(good, step{"c", 0, 6, fast}), want: 1},
		"too few outcomes":                    {steps: append(good, step{"c", 0, 4, fast})},
		"too few failures":                    {steps: append(good, step{"c", 20, 2, fast})},
		"outcomes too long ago":               {steps: append(good, step{"c", 0, 4, fast}, step{"a", 9, 0, slow}, step{"c", 0, 1, fast})},
		"all fail":                            {steps: []step{{"a", 12, 8, fast}, {"b", 12, 8, fast}, {"c", 12, 8, fast}, {"a", 12, 8, fast}, {"b", 12, 8, fast}}},
		"less than three times the best":      {steps: []step{{"a", 16, 4, fast}, {"b", 16, 4, fast}, {"c", 10, 10, fast}}},
		"nothing to compare with":             {steps: []step{{"c", 0, 20, fast}}},
		"the others have too few outcomes":    {steps: []step{{"a", 4, 0, fast}, {"b", 4, 0, fast}, {"c", 0, 20, fast}}},
		"two of three fail, one is kept":      {steps: []step{{"a", 20, 0, fast}, {"b", 0, 9, fast}, {"c", 0, 9, fast}}, want: 1},
		"one of two may be ejected":           {members: []string{"a", "c"}, steps: []step{{"a", 20, 0, fast}, {"c", 0, 9, fast}}, want: 1},
		"the only one is kept":                {members: []string{"c"}, steps: []step{{"c", 0, 20, fast}}},
		"two of four may be ejected":          {members: []string{"a", "b", "c", "d"}, steps: append(good, step{"c", 0, 9, fast}, step{"d", 0, 9, fast}), want: 2},
		"an unknown one is not counted":       {members: []string{"a", "b"}, steps: append(good, step{"x", 0, 9, fast})},
		"rare statements, one every second":   {steps: []step{{"a", 20, 0, fast}, {"b", 20, 0, fast}, {"c", 0, 5, slow}}, want: 1},
		"ejected once while it is ejected":    {steps: append(good, step{"c", 0, 50, fast}), want: 1},
		"a failure among a thousand outcomes": {steps: append(good, step{"c", 1000, 1, time.Millisecond})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.members == nil {
				test.members = []string{"a", "b", "c"}
			}
			if got, _ := play(newGroup(test.members...), start, test.steps); len(got) != test.want {
				t.Errorf("got %v ejected, want %d", got, test.want)
			}
		})
	}
}

// TestProbabilityDecays guards against an instance that keeps its bad name after its failures, or gets one by a single failure.
func TestProbabilityDecays(t *testing.T) {
	tests := map[string]struct {
		answered, failed int
		after            time.Duration
		want             float64
	}{
		"no outcomes":           {want: 0},
		"one failure":           {failed: 1, want: 0.5},
		"two of five":           {answered: 24, failed: 16, want: 16.0 / 41},
		"two of five, 2 s ago":  {answered: 24, failed: 16, after: 2 * time.Second, want: 8.0 / 21},
		"two of five, 6 s ago":  {answered: 24, failed: 16, after: 6 * time.Second, want: 2.0 / 6},
		"two of five, 8 s ago":  {answered: 24, failed: 16, after: 8 * time.Second, want: 0},
		"two of five, long ago": {answered: 24, failed: 16, after: time.Hour, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup("a")
			play(g, start, []step{{"a", test.answered, test.failed, 0}})
			if got := float64(g.Health(start.Add(test.after), "a").Probability); math.Abs(got-test.want) > 0.001 {
				t.Errorf("got %.3f, want %.3f", got, test.want)
			}
		})
	}
}

// TestReturn guards against an ejection that lasts too long, an instance that gets all of its reads at once when it returns, and one
// that goes unnoticed by operators.
func TestReturn(t *testing.T) {
	g := newGroup("a", "b", "c")
	_, now := play(g, start, []step{{"a", 20, 0, 0}, {"b", 20, 0, 0}})
	for i, length := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		play(g, now, []step{{"a", 20, 0, 0}, {"b", 20, 0, 0}})
		ejected, _ := play(g, now, []step{{"c", 0, 6, 0}})
		if len(ejected) != 1 {
			t.Fatalf("got %v for ejection %d, want it", ejected, i)
		}
		for after, want := range map[time.Duration]float64{
			0:                                 0,
			length - 1:                        0,
			length:                            1.0 / 3,
			length + 250*time.Millisecond - 1: 1.0 / 3,
			length + 250*time.Millisecond:     1.0 / 2,
			length + 500*time.Millisecond:     2.0 / 3,
			length + 750*time.Millisecond:     5.0 / 6,
			length + 1000*time.Millisecond:    1,
			length + 100*time.Millisecond:     1.0 / 3,
		} {
			if got := g.Health(now.Add(after), "c").Share; math.Abs(got-want) > 1e-9 {
				t.Errorf("got a share of %v %v after ejection %d, want %v", got, after, i, want)
			}
		}
		reports := 0
		note := func(id string, report Report) {
			reports++
			if id != "c" || report.For != length {
				t.Errorf("got %s, %+v, want c after %v", id, report, length)
			}
		}
		g.Returned(now.Add(length-1), note)
		if reports != 0 {
			t.Error("got a return before the end of the ejection, want none")
		}
		now = now.Add(length)
		g.Returned(now, note)
		g.Returned(now, note)
		if reports != 1 {
			t.Errorf("got %d returns, want 1", reports)
		}
		now = now.Add(2 * time.Second)
	}
	now = now.Add(maxEjection)
	play(g, now, []step{{"a", 20, 0, 0}, {"b", 20, 0, 0}, {"c", 0, 6, 0}})
	if got := g.Health(now.Add(firstEjection), "c").Share; got == 0 {
		t.Error("got a long ejection after a long time without any, want the shortest")
	}
	if got, want := g.Totals("c"), (Totals{Failures: 36, Ejections: 6}); got != want {
		t.Errorf("got totals %+v, want %+v", got, want)
	}
}

// TestJitter guards against hosts that send their reads again all at once.
func TestJitter(t *testing.T) {
	for name, test := range map[string]struct {
		jitter float64
		want   time.Duration
	}{
		"least": {0, time.Second},
		"most":  {1, 1250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup("a", "b")
			g.Jitter = func() float64 { return test.jitter }
			play(g, start, []step{{"a", 20, 0, 0}, {"b", 0, 4, 0}})
			if report, ejected := g.Observe(start, "b", Lost); !ejected || report.For != test.want {
				t.Errorf("got %+v, %v, want an ejection for %v", report, ejected, test.want)
			}
		})
	}
}

// TestRestartBeginsAnew guards against an instance that is blamed for what its predecessor of the same id failed.
func TestRestartBeginsAnew(t *testing.T) {
	for name, test := range map[string]struct {
		born model.Incarnation
		want Health
	}{
		"same incarnation":    {1, Health{Probability: 6.0 / 7, Share: 0, Level: 5.0 / 6}},
		"another incarnation": {2, Health{Share: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup("a", "b")
			play(g, start, []step{{"a", 20, 0, 0}, {"b", 0, 6, 0}})
			g.Add("b", test.born)
			if got := g.Health(start, "b"); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestAdmit guards against an ejected instance whose recovery nobody can notice, one that is probed more often, and a returning one that
// gets more or less than its share.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		after    time.Duration
		mayProbe bool
		want     map[Admission]int // of 60 reads
	}{
		"ejected":               {mayProbe: true, want: map[Admission]int{Denied: 57, Probe: 3}},
		"ejected, no probes":    {want: map[Admission]int{Denied: 60}},
		"just returned":         {after: firstEjection, mayProbe: true, want: map[Admission]int{Denied: 40, Admitted: 20}},
		"half of the way":       {after: firstEjection + rampStep, mayProbe: true, want: map[Admission]int{Denied: 30, Admitted: 30}},
		"all of its reads":      {after: firstEjection + 4*rampStep, mayProbe: true, want: map[Admission]int{Admitted: 60}},
		"long after its return": {after: time.Hour, mayProbe: true, want: map[Admission]int{Admitted: 60}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup("a", "b")
			play(g, start, []step{{"a", 20, 0, 0}, {"b", 0, 6, 0}})
			got := make(map[Admission]int)
			for range 60 {
				got[g.Admit(start.Add(test.after), "b", test.mayProbe)]++
			}
			for admission, want := range test.want {
				if diff := got[admission] - want; diff < -1 || diff > 1 {
					t.Errorf("got %d reads of admission %d, want %d", got[admission], admission, want)
				}
			}
		})
	}
}
