package front

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/model"
	"redwingspread/internal/placement"
)

// TestLeavingIsLoggedAtTurns guards against a log line for each statement that leaves, and against a share that is changed by a mere
// question whether any instance is left.
func TestLeavingIsLoggedAtTurns(t *testing.T) {
	lines := memory.New()
	h := New()
	h.Logger = &log.Logger{Level: log.InfoLevel, Handler: lines}
	h.Settings.CentreCost, h.sharedRegion = time.Millisecond, true
	candidates := []placement.Candidate{{Expected: 300 * time.Millisecond}, {Expected: time.Millisecond, Edge: placement.EdgeCentre}}
	var limit leaving
	for i := range 1200 {
		read := placement.Read{Rank: model.RankOne, Goal: time.Second}
		read.Now, read.PointKnown = model.Instant(time.Hour+time.Duration(i)*10*time.Millisecond), true
		candidates[0].Expected = 300 * time.Millisecond
		if i >= 600 {
			candidates[0].Expected = time.Millisecond
		}
		(*leaving)(nil).choose(candidates, &read, h.edgeCosts())
		choice := limit.choose(candidates, &read, h.edgeCosts())
		h.logLeaving("d", choice, &limit)
		h.counters.placed.count(choice)
	}
	var got []string
	for _, entry := range lines.Entries {
		got = append(got, entry.Fields["change"].(string))
	}
	if want := []string{"begins", "falls", "ends"}; !slices.Equal(got, want) {
		t.Errorf("got changes %v, want %v", got, want)
	}
	counts := &h.counters.placed
	left, held := counts[placement.EdgeCentre][placement.ReasonShare].Load(), counts[placement.EdgeHome][placement.ReasonHeld].Load()
	if stayed := counts[placement.EdgeHome][placement.ReasonStays].Load(); left < 300 || left+held != 600 || stayed != 600 {
		t.Errorf("got %d statements that left, %d held and %d at home, want 600 of the first two and 600", left, held, stayed)
	}
}
