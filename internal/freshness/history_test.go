package freshness

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// millis returns an instant in milliseconds.
func millis(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }

// point returns a point of a term.
func point(term model.Term, position model.Position) model.Point {
	return model.Point{Term: term, Position: position}
}

// observation is one call of Observe.
type observation struct {
	sent  model.Instant
	point model.Point
}

func TestMinPoint(t *testing.T) {
	tests := map[string]struct {
		observed []observation
		now      model.Instant
		maxAge   time.Duration
		want     model.Point
		known    bool
	}{
		"no samples":                                     {now: millis(100), maxAge: time.Second},
		"all samples too old":                            {observed: []observation{{millis(0), point(1, 5)}}, now: millis(1001), maxAge: time.Second},
		"oldest sample within the max age":               {observed: []observation{{millis(0), point(1, 5)}, {millis(500), point(1, 6)}, {millis(900), point(1, 7)}}, now: millis(1400), maxAge: time.Second, want: point(1, 6), known: true},
		"sample exactly at the max age":                  {observed: []observation{{millis(400), point(1, 5)}}, now: millis(1400), maxAge: time.Second, want: point(1, 5), known: true},
		"newer term discards older ones":                 {observed: []observation{{millis(0), point(1, 5)}, {millis(50), point(2, 4)}}, now: millis(100), maxAge: time.Second, want: point(2, 4), known: true},
		"older term after a newer one is ignored":        {observed: []observation{{millis(0), point(2, 4)}, {millis(50), point(1, 9)}}, now: millis(1020), maxAge: time.Second},
		"host was suspended for longer than the max age": {observed: []observation{{millis(0), point(1, 5)}}, now: millis(9000), maxAge: 2 * time.Second},
		"slow response is dated by its sending":          {observed: []observation{{millis(100), point(1, 5)}, {millis(50), point(1, 9)}}, now: millis(1060), maxAge: time.Second, want: point(1, 5), known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var history PointHistory
			for _, s := range test.observed {
				history.Observe(s.sent, s.point)
			}
			got, known := history.MinPoint(test.now, test.maxAge)
			if got != test.want || known != test.known {
				t.Errorf("got %v, %v, want %v, %v", got, known, test.want, test.known)
			}
		})
	}
}

func TestWithCommit(t *testing.T) {
	tests := map[string]struct{ minimum, commit, want model.Point }{
		"no commit":               {minimum: point(1, 5), want: point(1, 5)},
		"older commit":            {minimum: point(1, 5), commit: point(1, 3), want: point(1, 5)},
		"newer commit":            {minimum: point(1, 5), commit: point(1, 8), want: point(1, 8)},
		"commit of an older term": {minimum: point(2, 5), commit: point(1, 8), want: point(2, 5)},
		"commit of a newer term":  {minimum: point(1, 5), commit: point(2, 1), want: point(2, 1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var history PointHistory
			if got := history.WithCommit(test.minimum, test.commit); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var history PointHistory
	for i := range 10 * maxSamples {
		history.Observe(millis(20*i), point(1, model.Position(i)))
	}
	if got := len(history.samples); got > maxSamples {
		t.Errorf("got %d samples, want at most %d", got, maxSamples)
	}
	if got, want := history.LagOf(point(1, 10*maxSamples-11)), 180*time.Millisecond; got != want {
		t.Errorf("got a lag of %v, want %v", got, want)
	}
}

// TestPassedAt guards against a lag that looks far smaller than it is, since a host sees only some of the primary's positions.
func TestPassedAt(t *testing.T) {
	var history PointHistory
	if _, known := history.Newest(); known {
		t.Error("got a newest position of an empty history, want none")
	}
	history.Observe(millis(100), point(2, 10))
	history.Observe(millis(400), point(2, 40))
	history.Observe(millis(700), point(2, 40))
	history.Observe(millis(800), point(2, 50))
	tests := map[string]struct {
		point model.Point
		want  model.Instant
		known bool
	}{
		"before all positions":     {point(2, 5), millis(100), true},
		"of an older term":         {point(1, 99), millis(100), true},
		"at a position":            {point(2, 10), millis(100), true},
		"between two positions":    {point(2, 20), millis(200), true},
		"while there were no more": {point(2, 40), millis(700), true},
		"at the newest position":   {point: point(2, 50)},
		"past the newest position": {point: point(2, 60)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got, known := history.PassedAt(test.point); got != test.want || known != test.known {
				t.Errorf("got %v, %v, want %v, %v", got, known, test.want, test.known)
			}
		})
	}
	if got, known := history.Newest(); !known || got != millis(800) {
		t.Errorf("got newest %v, %v, want %v", got, known, millis(800))
	}
}
