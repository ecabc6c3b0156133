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

// TestRemoteProofIsNoObservation guards against a host that repeats another host's proof as if it reached the primary itself.
func TestRemoteProofIsNoObservation(t *testing.T) {
	tests := map[string]struct {
		own    bool // the primary has proved itself to this host
		remote bool // and to another host, later
		want   failover.State
	}{
		"own proof":               {own: true, want: failover.Leading},
		"remote proof":            {remote: true, want: failover.Unknown},
		"own proof, then another": {own: true, remote: true, want: failover.Leading},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now, point := time.Now(), model.Point{Term: 3, Position: 9}
			b := &backend{replicaSet: &replicaSet{}}
			b.instance.ID = "i1"
			if test.own {
				b.notePrimary(clock.Boot(), point)
			}
			if test.remote {
				now = now.Add(500 * time.Millisecond)
				b.noteRemoteProof(now, scout.Proof{Instance: "i1", Point: point, SentAt: clock.Boot()})
			}
			monitor := failover.New(failover.DefaultTiming())
			monitor.UpdatePrimary(now, []failover.Member{{Instance: "i1", ClaimsPrimary: true}}, map[model.InstanceID]failover.Health{"i1": b.health})
			if got := monitor.OwnObservation().State; got != test.want {
				t.Errorf("got own observation %s, want %s", got, test.want)
			}
			if got := monitor.Observation().State; got != failover.Leading {
				t.Errorf("got state %s, want %s for the statements", got, failover.Leading)
			}
		})
	}
}
