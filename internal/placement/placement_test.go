package placement

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// ms returns milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestRead(t *testing.T) {
	least := model.Point{Term: 1, Position: 10}
	now := model.Instant(ms(5000))
	known := Requirement{Now: now, MinPoint: least, PointKnown: true, WrittenAt: now.Add(-ms(500))}
	primary := Candidate{Primary: true, Expected: ms(10), RoundTrip: ms(1)}
	near := Candidate{Expected: ms(10), RoundTrip: ms(1), Reached: least}
	far := Candidate{Expected: ms(10), RoundTrip: ms(25), Reached: least}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	tests := map[string]struct {
		candidates []Candidate
		want       Requirement
		index      int
	}{
		"none":                                  {want: known, index: None},
		"a near replica before the primary":     {candidates: []Candidate{primary, far, near}, want: known, index: 2},
		"the primary when no point is known":    {candidates: []Candidate{near, primary}, want: Requirement{Now: now}, index: 1},
		"a far replica when the near is queued": {candidates: []Candidate{with(near, func(c *Candidate) { c.Expected = ms(80) }), far}, want: known, index: 1},
		"a replica that lags is left out":       {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.Lag = ms(900) }), primary}, want: known, index: 1},
		"a replica expected to have caught up":  {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.Lag = ms(60) }), primary}, want: known, index: 0},
		"a replica that just lacked a point":    {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.BehindUntil = now.Add(ms(30)) }), primary}, want: known, index: 1},
		"but it holds this one":                 {candidates: []Candidate{with(near, func(c *Candidate) { c.BehindUntil = now.Add(ms(30)) }), primary}, want: known, index: 0},
		"an instance that leaves":               {candidates: []Candidate{with(near, func(c *Candidate) { c.Avoid = true }), far}, want: known, index: 1},
		"an instance that was tried":            {candidates: []Candidate{with(near, func(c *Candidate) { c.Tried = true }), primary}, want: known, index: 1},
		"an idle primary before a full replica": {candidates: []Candidate{with(near, func(c *Candidate) { c.Expected = ms(300) }), primary}, want: known, index: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := ChooseForRead(test.candidates, test.want); got != test.index {
				t.Errorf("got %d, want %d", got, test.index)
			}
		})
	}
}

func BenchmarkRead(b *testing.B) {
	least := model.Point{Term: 1, Position: 10}
	candidates := []Candidate{{Primary: true, Expected: ms(10)}, {Expected: ms(9), Reached: least}, {Expected: ms(8), Reached: least}}
	b.ReportAllocs()
	for b.Loop() {
		ChooseForRead(candidates, Requirement{MinPoint: least, PointKnown: true})
	}
}
