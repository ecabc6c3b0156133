package front

import (
	"testing"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

// TestOldProofsDoNotHideALoss guards against a primary that is lost and never replaced: a scout repeats its newest proof, which was
// taken for a new one while the probe of a host that had just begun to doubt the primary was still on its way.
func TestOldProofsDoNotHideALoss(t *testing.T) {
	tests := map[string]struct {
		proofAge time.Duration // age of what the scout answers while the probe is on its way
		want     failover.State
	}{
		"repeated proof": {proofAge: 500 * time.Millisecond, want: failover.Silent},
		"new proof":      {proofAge: 0, want: failover.Leading},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			b := &backend{replicaSet: &replicaSet{}}
			b.instance.ID = "i1"
			monitor := failover.New(failover.DefaultTiming())
			update := func(at time.Time) {
				monitor.UpdatePrimary(at, []failover.Member{{Instance: "i1", ClaimsPrimary: true}}, map[model.InstanceID]failover.Health{"i1": b.health})
			}
			proof := func(at time.Time, age time.Duration) {
				b.noteRemoteProof(at, scout.Proof{Instance: "i1", Point: model.Point{Term: 3, Position: 9}, SentAt: clock.Boot().Add(-age)})
			}
			proof(now, 0)
			update(now)
			begun := now.Add(400 * time.Millisecond)
			proof(begun.Add(100*time.Millisecond), test.proofAge)
			b.noteFailure(begun)
			update(begun.Add(600 * time.Millisecond))
			if got := monitor.Observation().State; got != test.want {
				t.Errorf("got state %s, want %s", got, test.want)
			}
		})
	}
}
