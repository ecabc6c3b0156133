package front

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// TestEachStageIsLoggedOnce enters the stages of a shutdown as its ticks do.
func TestEachStageIsLoggedOnce(t *testing.T) {
	tests := map[string]struct {
		entered []int32
		want    []string
	}{
		"both stages":        {entered: []int32{stageDraining, stageDraining, stageTerminating, stageTerminating}, want: []string{"draining", "terminating"}},
		"terminated at once": {entered: []int32{stageTerminating, stageTerminating}, want: []string{"terminating"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			logged := memory.New()
			h := New()
			h.Logger = &log.Logger{Handler: logged, Level: log.InfoLevel}
			h.addSession(&callerSession{})
			for i, stage := range test.entered {
				h.enterStage(stage, time.Duration(i)*stopInterval)
			}
			var got []string
			for _, entry := range logged.Entries {
				got = append(got, entry.Fields["stage"].(string))
				if entry.Fields["sessions"] != 1 {
					t.Errorf("got %v open sessions, want 1", entry.Fields["sessions"])
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got stages %v, want %v", got, test.want)
			}
		})
	}
}
