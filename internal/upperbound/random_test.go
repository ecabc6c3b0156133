package upperbound

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestRandomSizes guards against a calculation that does not end, or that answers more than arrives, or less where there is more capacity.
func TestRandomSizes(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 1))
	span := func(longest time.Duration) time.Duration { return time.Duration(1 + random.Int64N(int64(longest))) }
	for i := range 500 {
		sizes := Sizes{Databases: 1 + random.IntN(8), Instances: 1 + random.IntN(3), Slots: model.Slots(1 + random.IntN(5)), Connections: model.Connections(1 + random.IntN(60)), Trip: span(20 * ms)}
		for k := range 1 + random.IntN(6) {
			goal := span(2 * time.Second)
			sizes.Kinds = append(sizes.Kinds, Kind{
				Name: model.KindID(fmt.Sprint("k", k)), Rate: model.Rate(1 + random.IntN(1500)), Work: span(60 * ms), Writes: float64(random.IntN(5)) / 4,
				Goal: goal, Deadline: goal + span(8*time.Second) - 1, Value: float64(1 + random.IntN(3)), Late: float64(random.IntN(4)) / 4,
			})
		}
		for start := time.Duration(0); len(sizes.Phases) < 4; {
			all := sizes.Databases * sizes.Instances
			lost := random.IntN(all + 1)
			phase := Phase{Name: "p", Start: start, Length: span(time.Minute), Factor: map[model.KindID]float64{"k0": float64(random.IntN(9)) / 4}, Lost: lost, Slow: random.IntN(all - lost + 1), Slowness: float64(1 + random.IntN(8))}
			start = phase.end() + time.Duration(random.IntN(2))*span(time.Second)
			sizes.Phases = append(sizes.Phases, phase)
		}
		if err := sizes.Check(); err != nil {
			t.Fatal(err)
		}
		report := sizes.Calculate()
		larger := sizes
		larger.Slots, larger.Connections = 2*sizes.Slots, 2*sizes.Connections
		more := larger.Calculate()
		for p, result := range report.Phases {
			for _, share := range result.Shares {
				if share.InTime < 0 || share.Late < 0 || share.InTime+share.Late > 1+1e-6 {
					t.Errorf("sizes %d, phase %d: got %+v, want shares of what arrived", i, p, share)
				}
			}
			if got, least := more.Phases[p].Value, result.Value; got < least-1e-6 {
				t.Errorf("sizes %d, phase %d: got value %v with twice the capacity, want at least %v", i, p, got, least)
			}
		}
	}
}
