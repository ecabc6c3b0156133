package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/freshness"
	"redwingspread/internal/model"
)

// TestLag covers replicas that fall seconds behind and catch up, and hosts that seldom read from a replica.
func TestLag(t *testing.T) {
	observe, bound, raise, adopt := (*Lag).Observe, (*Lag).Bound, (*Lag).Raise, (*Lag).Adopt
	type sample struct {
		at, age int // milliseconds
		add     func(*Lag, model.Instant, time.Duration)
	}
	tests := map[string]struct {
		samples []sample
		at      int
		want    time.Duration
	}{
		"no samples":                           {at: 100, want: 0},
		"first sample counts in full":          {samples: []sample{{10, 4000, observe}}, at: 20, want: ms(4000)},
		"rises slowly":                         {samples: []sample{{0, 0, observe}, {10, 4000, observe}}, at: 20, want: ms(1000)},
		"falls at once":                        {samples: []sample{{0, 0, observe}, {10, 4000, observe}, {20, 4000, observe}, {30, 50, observe}}, at: 40, want: ms(50)},
		"full until its lifetime ends":         {samples: []sample{{20, 4000, observe}}, at: 520, want: ms(4000)},
		"falls to the usual lag after that":    {samples: []sample{{20, 4000, observe}}, at: 521, want: usualLag},
		"usual lag is kept for a rare reader":  {samples: []sample{{20, 150, observe}}, at: 5000, want: ms(150)},
		"expires without samples":              {samples: []sample{{0, 0, observe}, {10, 4000, observe}, {20, 4000, observe}}, at: 10_021, want: 0},
		"an upper bound lowers it":             {samples: []sample{{0, 4000, observe}, {10, 90, bound}}, at: 20, want: ms(90)},
		"an upper bound above it tells little": {samples: []sample{{0, 60, observe}, {10, 90, bound}}, at: 20, want: ms(60)},
		"an upper bound alone tells nothing":   {samples: []sample{{10, 90, bound}}, at: 20, want: 0},
		"a refused read raises it at once":     {samples: []sample{{0, 60, observe}, {10, 2000, raise}}, at: 20, want: ms(2000)},
		"a refused read never lowers it":       {samples: []sample{{0, 2000, observe}, {10, 60, raise}}, at: 20, want: ms(2000)},
		"another host's estimate replaces it":  {samples: []sample{{0, 10, observe}, {10, 160, adopt}}, at: 20, want: ms(160)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lag Lag
			for _, s := range test.samples {
				s.add(&lag, model.Instant(ms(s.at)), ms(s.age))
			}
			if got := lag.At(model.Instant(ms(test.at))); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestReadsOfOwnCommits guards against reads that are sent to a replica that can't hold their commit yet, although the host could
// know it: it reads from the replica about once per second and sees a position of the primary every 300 ms.
func TestReadsOfOwnCommits(t *testing.T) {
	tests := map[string]struct {
		lag     time.Duration
		age     time.Duration // of the data of other reads
		own     time.Duration // up to which the commits are old when they are read
		refused float64       // greatest share of the reads that the replica refuses
		replica float64       // least share of the reads that the replica serves
	}{
		"150 ms behind, fresh commits": {lag: ms(150), age: ms(2000), own: ms(100), refused: 0.02},
		"150 ms behind, older commits": {lag: ms(150), age: ms(2000), own: ms(2000), refused: 0.05, replica: 0.6},
		"8 ms behind":                  {lag: ms(8), age: ms(2000), own: ms(1000), refused: 0.02, replica: 0.6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			var history freshness.PointHistory
			var lag Lag
			var reached model.Point
			at := func(now time.Duration) model.Point { // of the primary, which commits 50 times per second
				return model.Point{Term: 1, Position: model.Position(now / ms(20))}
			}
			reads, refused, served := 0, 0, 0
			next, proof := time.Second, time.Duration(0)
			for now := time.Duration(0); now < 200*time.Second; now += ms(1) {
				if now >= proof {
					history.Observe(model.Instant(now), at(now))
					proof += ms(300)
				}
				if now < next {
					continue
				}
				next = now + time.Duration(random.ExpFloat64()*float64(time.Second))
				required := Requirement{Now: model.Instant(now)}
				required.MinPoint, required.PointKnown = history.MinPoint(required.Now, test.age)
				written := now - time.Duration(random.Int64N(int64(test.own)))
				if random.IntN(2) == 0 {
					history.Observe(model.Instant(written), at(written))
					required.MinPoint = at(written)
				}
				required.WrittenAt = required.Now
				if known, ok := history.ReachedAt(required.MinPoint); ok {
					required.WrittenAt = known
				}
				candidates := []Candidate{
					{Primary: true, Expected: ms(20), RoundTrip: ms(3)},
					{Expected: ms(20), RoundTrip: ms(3), Reached: reached, Lag: lag.At(required.Now)},
				}
				reads++
				if ChooseForRead(candidates, required) != 1 {
					continue
				}
				held := at(now - test.lag)
				if held.Compare(required.MinPoint) < 0 {
					refused++
					lag.Raise(required.Now, required.Now.Sub(required.WrittenAt))
					continue
				}
				served++
				reached = held
				if passed, ok := history.PassedAt(held); ok {
					lag.Observe(required.Now, required.Now.Sub(passed))
				} else if newest, ok := history.Newest(); ok {
					lag.Bound(required.Now, required.Now.Sub(newest))
				}
			}
			if share := float64(refused) / float64(reads); share > test.refused {
				t.Errorf("got %.3f of %d reads refused, want at most %.3f", share, reads, test.refused)
			}
			if share := float64(served) / float64(reads); share < test.replica {
				t.Errorf("got %.3f of %d reads served by the replica, want at least %.3f", share, reads, test.replica)
			}
			t.Logf("%d reads, %.3f refused, %.3f served by the replica", reads, float64(refused)/float64(reads), float64(served)/float64(reads))
		})
	}
}
