package capacity

import (
	"testing"
)

func TestMeasureDeployment(t *testing.T) {
	costs, err := MeasureConnections(t.Context(), []int{5, 50})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(costs); got != 2 {
		t.Errorf("got %d costs, want 2", got)
	}
	proxied, direct, err := MeasureStatements(t.Context(), []int{50})
	if err != nil {
		t.Fatal(err)
	}
	if got := proxied[0].FailedReads + direct[0].FailedReads; got != 0 {
		t.Errorf("got %d failed reads, want 0; the first: %v through a host, %v directly", got, proxied[0].FirstFailure, direct[0].FirstFailure)
	}
}
