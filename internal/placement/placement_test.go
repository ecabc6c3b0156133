package placement

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// ms returns a duration in milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestChooseForRead(t *testing.T) {
	point := model.Point{Term: 1, Position: 10}
	now := model.Instant(ms(5000))
	known := Requirement{Now: now, MinPoint: point, PointKnown: true, WrittenAt: now.Add(-ms(500))}
	primary := Candidate{Primary: true, Expected: ms(10), RoundTrip: ms(1)}
	near := Candidate{Expected: ms(10), RoundTrip: ms(1), Reached: point}
	far := Candidate{Expected: ms(10), RoundTrip: ms(25), Reached: point}
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	tests := map[string]struct {
		candidates []Candidate
		required   Requirement
		want       int
	}{
		"none":                                       {required: known, want: None},
		"near replica preferred to the primary":      {candidates: []Candidate{primary, far, near}, required: known, want: 2},
		"primary when no point is known":             {candidates: []Candidate{near, primary}, required: Requirement{Now: now}, want: 1},
		"far replica when the near one has a queue":  {candidates: []Candidate{with(near, func(c *Candidate) { c.Expected = ms(80) }), far}, required: known, want: 1},
		"lagging replica is skipped":                 {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.Lag = ms(900) }), primary}, required: known, want: 1},
		"replica expected to have caught up":         {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.Lag = ms(60) }), primary}, required: known, want: 0},
		"replica that recently lacked a point":       {candidates: []Candidate{with(near, func(c *Candidate) { c.Reached.Position = 5; c.BehindUntil = now.Add(ms(30)) }), primary}, required: known, want: 1},
		"replica that recently lacked a newer point": {candidates: []Candidate{with(near, func(c *Candidate) { c.BehindUntil = now.Add(ms(30)) }), primary}, required: known, want: 0},
		"leaving instance is skipped":                {candidates: []Candidate{with(near, func(c *Candidate) { c.Avoid = true }), far}, required: known, want: 1},
		"tried instance is skipped":                  {candidates: []Candidate{with(near, func(c *Candidate) { c.Tried = true }), primary}, required: known, want: 1},
		"idle primary preferred to a busy replica":   {candidates: []Candidate{with(near, func(c *Candidate) { c.Expected = ms(300) }), primary}, required: known, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := ChooseForRead(test.candidates, test.required); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func BenchmarkChooseForRead(b *testing.B) {
	point := model.Point{Term: 1, Position: 10}
	candidates := []Candidate{{Primary: true, Expected: ms(10)}, {Expected: ms(9), Reached: point}, {Expected: ms(8), Reached: point}}
	b.ReportAllocs()
	for b.Loop() {
		ChooseForRead(candidates, Requirement{MinPoint: point, PointKnown: true})
	}
}
