package placement

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestLag covers replicas that fall seconds behind and catch up.
func TestLag(t *testing.T) {
	type sample struct{ at, age int } // milliseconds
	tests := map[string]struct {
		samples []sample
		at      int
		want    time.Duration
	}{
		"no samples":              {at: 100, want: 0},
		"rises slowly":            {samples: []sample{{0, 0}, {10, 4000}}, at: 20, want: ms(1000)},
		"falls at once":           {samples: []sample{{0, 0}, {10, 4000}, {20, 4000}, {30, 50}}, at: 40, want: ms(50)},
		"expires without samples": {samples: []sample{{0, 0}, {10, 4000}, {20, 4000}}, at: 1000, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lag Lag
			for _, s := range test.samples {
				lag.Observe(model.Instant(ms(s.at)), ms(s.age))
			}
			if got := lag.At(model.Instant(ms(test.at))); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
