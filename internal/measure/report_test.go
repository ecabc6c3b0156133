package measure

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	tests := map[string]struct {
		values map[MetricName]float64
		missed int
	}{
		"no measured value":            {nil, 0},
		"a minimum that is met":        {map[MetricName]float64{"replica_share": 0.95}, 0},
		"a minimum that is missed":     {map[MetricName]float64{"replica_share": 0.9}, 1},
		"maximums that are met":        {map[MetricName]float64{"lost": 0, "failover_gap_ms.crash.worst": 1000}, 0},
		"two maximums that are missed": {map[MetricName]float64{"lost": 1, "doubled": 1}, 2},
		"a metric without a target":    {map[MetricName]float64{"hop_ms.p99": 1e9}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := NewReport("authority")
			for metric, value := range test.values {
				report.Set(metric, value)
			}
			if got := len(report.Missed()); got != test.missed {
				t.Errorf("got %d missed metrics, want %d: %v", got, test.missed, report.Missed())
			}
			if got, want := len(report.Unmeasured()), len(targets)-countTargeted(test.values); got != want {
				t.Errorf("got %d metrics not measured, want %d", got, want)
			}
		})
	}
}

// countTargeted counts the values whose metric has a target.
func countTargeted(values map[MetricName]float64) int {
	count := 0
	for _, target := range targets {
		if _, found := values[target.name]; found {
			count++
		}
	}
	return count
}

func TestMissingValueIsNull(t *testing.T) {
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

func TestCountPayments(t *testing.T) {
	acknowledged, unknown := countPayments([]payment{{acknowledged: true}, {acknowledged: true}, {unknown: true}, {}})
	if acknowledged != 2 || unknown != 1 {
		t.Errorf("got %d acknowledged and %d unknown, want 2 and 1", acknowledged, unknown)
	}
}
