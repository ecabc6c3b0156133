package capacity

import (
	"math"
	"testing"
)

func TestNewFit(t *testing.T) {
	tests := map[string]struct {
		sizes, values []float64
		want          Fit
	}{
		"points on a line":    {[]float64{1, 2, 3, 4, 5}, []float64{3, 5, 7, 9, 11}, Fit{1, 2, 0, 1}},
		"constant values":     {[]float64{1, 2, 3, 4, 5}, []float64{4, 4, 4, 4, 4}, Fit{4, 0, 0, 1}},
		"points off the line": {[]float64{-1, 0, 1}, []float64{0, 3, 0}, Fit{1, 0, math.Sqrt2, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := NewFit(test.sizes, test.values)
			difference := math.Abs(got.Intercept-test.want.Intercept) + math.Abs(got.Slope-test.want.Slope) +
				math.Abs(got.Residual-test.want.Residual) + math.Abs(got.R2-test.want.R2)
			if !(difference < 1e-9) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestMeasureControlCost(t *testing.T) {
	small := MeasureControlCost(20, 30, 0)
	large := MeasureControlCost(20, 600, 0)
	if large.Heap <= small.Heap || large.Probes <= small.Probes {
		t.Errorf("got %+v for 600 databases, want a larger heap and more probes than %+v for 30", large, small)
	}
	if small.BeatsPerSecond == 0 || small.StoreReads == 0 {
		t.Errorf("got %+v, want heartbeats and store reads", small)
	}
}

func TestMeasurePropagation(t *testing.T) {
	first, err := MeasurePropagation(20, 1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := MeasurePropagation(20, 1)
	if err != nil {
		t.Fatal(err)
	}
	if first != second {
		t.Errorf("got %+v from the same seed, want %+v", second, first)
	}
	if first.Missing != 0 {
		t.Errorf("got %d hosts that did not learn of a change, want 0", first.Missing)
	}
}

func TestCheckBudgets(t *testing.T) {
	tests := map[string]struct {
		target ControlCost
		want   int
	}{
		"within all budgets":        {ControlCost{CPUShare: 0.02, Heap: 1 << 20, PeerBytes: 1000, StoreReads: 1}, 0},
		"too many bytes per second": {ControlCost{PeerBytes: 1000, ProbeBytes: 1000, StoreBytes: 1}, 1},
		"over all budgets":          {ControlCost{CPUShare: 1, Heap: 1 << 30, PeerBytes: 5000, StoreReads: 2}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := Report{Target: test.target}
			report.checkBudgets()
			if got := len(report.Missed); got != test.want {
				t.Errorf("got %d missed budgets, want %d: %v", got, test.want, report.Missed)
			}
		})
	}
}
