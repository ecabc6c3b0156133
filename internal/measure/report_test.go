package measure

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	tests := map[string]struct {
		set    map[MetricName]float64
		missed int
	}{
		"nothing taken misses nothing": {nil, 0},
		"a floor that is kept":         {map[MetricName]float64{"replica_share": 0.95}, 0},
		"a floor that is missed":       {map[MetricName]float64{"replica_share": 0.9}, 1},
		"a ceiling that is kept":       {map[MetricName]float64{"lost": 0, "failover_gap_ms.crash.worst": 1000}, 0},
		"two ceilings that are missed": {map[MetricName]float64{"lost": 1, "doubled": 1}, 2},
		"a figure without a target":    {map[MetricName]float64{"hop_ms.p99": 1e9}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := NewReport("authority")
			for figure, value := range test.set {
				report.Set(figure, value)
			}
			if got := len(report.Missed()); got != test.missed {
				t.Errorf("got %d missed figures, want %d: %v", got, test.missed, report.Missed())
			}
			if got, want := len(report.Unmeasured()), len(targets)-countTargeted(test.set); got != want {
				t.Errorf("got %d figures not taken, want %d", got, want)
			}
		})
	}
}

// countTargeted counts the figures with a target.
func countTargeted(set map[MetricName]float64) int {
	number := 0
	for _, item := range targets {
		if _, found := set[item.name]; found {
			number++
		}
	}
	return number
}

func TestMissingIsNull(t *testing.T) {
	report := NewReport("authority")
	report.Set("failover_gap_ms.crash.median", 0)
	text, err := json.Marshal(report.Tree())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"median":{"value":0,`, `"lost":{"value":null,`, `"flood":{"one":{"kept":{"one":{"value":null`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("got %s, want it to contain %s", text, want)
		}
	}
}

func TestCount(t *testing.T) {
	got1, got2 := countPayments([]payment{{acknowledged: true}, {acknowledged: true}, {unknown: true}, {}})
	if got1 != 2 || got2 != 1 {
		t.Errorf("got %d acknowledged and %d unknown, want 2 and 1", got1, got2)
	}
}
