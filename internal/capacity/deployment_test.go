package capacity

import (
	"testing"
)

func TestMeasureDeployment(t *testing.T) {
	connections, err := MeasureConnections(t.Context(), []int{5, 50})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(connections); got != 2 {
		t.Errorf("got %d points, want 2", got)
	}
	through, direct, err := MeasureStatements(t.Context(), []int{50})
	if err != nil {
		t.Fatal(err)
	}
	if got := through[0].Refused + direct[0].Refused; got != 0 {
		t.Errorf("got %d refused reads, want 0", got)
	}
}
