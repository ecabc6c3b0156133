package freshness

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// at returns a moment in milliseconds.
func at(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }

// point returns a point.
func point(term model.Term, position model.Position) model.Point {
	return model.Point{Term: term, Position: position}
}

// observation is one proof.
type observation struct {
	sent  model.Instant
	point model.Point
}

func TestLeast(t *testing.T) {
	tests := map[string]struct {
		seen  []observation
		now   model.Instant
		age   time.Duration
		want  model.Point
		known bool
	}{
		"nothing seen":                          {now: at(100), age: time.Second},
		"all too old":                           {seen: []observation{{at(0), point(1, 5)}}, now: at(1001), age: time.Second},
		"the oldest within the age":             {seen: []observation{{at(0), point(1, 5)}, {at(500), point(1, 6)}, {at(900), point(1, 7)}}, now: at(1400), age: time.Second, want: point(1, 6), known: true},
		"exactly at the age":                    {seen: []observation{{at(400), point(1, 5)}}, now: at(1400), age: time.Second, want: point(1, 5), known: true},
		"a new term drops older ones":           {seen: []observation{{at(0), point(1, 5)}, {at(50), point(2, 4)}}, now: at(100), age: time.Second, want: point(2, 4), known: true},
		"an older term after a newer":           {seen: []observation{{at(0), point(2, 4)}, {at(50), point(1, 9)}}, now: at(1020), age: time.Second},
		"the host slept through the age":        {seen: []observation{{at(0), point(1, 5)}}, now: at(9000), age: 2 * time.Second},
		"a slow answer counts from its sending": {seen: []observation{{at(100), point(1, 5)}, {at(50), point(1, 9)}}, now: at(1060), age: time.Second, want: point(1, 5), known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var marks PointHistory
			for _, s := range test.seen {
				marks.Observe(s.sent, s.point)
			}
			got, known := marks.MinPoint(test.now, test.age)
			if got != test.want || known != test.known {
				t.Errorf("got %v, %v, want %v, %v", got, known, test.want, test.known)
			}
		})
	}
}

func TestOwn(t *testing.T) {
	tests := map[string]struct{ least, commit, want model.Point }{
		"no commit":                 {least: point(1, 5), want: point(1, 5)},
		"an older commit":           {least: point(1, 5), commit: point(1, 3), want: point(1, 5)},
		"a newer commit":            {least: point(1, 5), commit: point(1, 8), want: point(1, 8)},
		"a commit of an older term": {least: point(2, 5), commit: point(1, 8), want: point(2, 5)},
		"a commit of a newer term":  {least: point(1, 5), commit: point(2, 1), want: point(2, 1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var marks PointHistory
			if got := marks.WithCommit(test.least, test.commit); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestMarksStayBounded(t *testing.T) {
	var marks PointHistory
	for i := range 10 * maxSamples {
		marks.Observe(at(20*i), point(1, model.Position(i)))
	}
	if got := len(marks.samples); got > maxSamples {
		t.Errorf("got %d marks, want at most %d", got, maxSamples)
	}
	if got, want := marks.LagOf(point(1, 10*maxSamples-11)), 180*time.Millisecond; got != want {
		t.Errorf("got a span of %v, want %v", got, want)
	}
}
