package front

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/clock"
	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
	"redwingspread/internal/placement"
	"redwingspread/internal/relay"
	"redwingspread/internal/scout"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// newOutlierHost returns a host that knows a primary i1 and two replicas without lag, and the log of its events.
func newOutlierHost(t *testing.T, detection string) (*Host, *memory.Handler) {
	t.Helper()
	h := New()
	h.Settings.OutlierDetection = detection
	h.Loop = control.New(fixedView{&controller.View{
		Directory: &directory.Directory{Version: 1},
		Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
	}})
	events := memory.New()
	h.Platform, h.Logger = hangingPlatform{}, &log.Logger{Handler: events}
	for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
		b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: id, Database: "seats"}})
		t.Cleanup(b.close)
	}
	point := model.Point{Term: 1, Position: 1}
	h.observeProofs([]scout.Proof{{Database: "seats", Instance: "i1", Point: point, SentAt: clock.Boot()}})
	for _, id := range []model.InstanceID{"i2", "i3"} {
		h.backend(id).noteFreshness(clock.Boot(), relay.Replica{Reached: point})
	}
	return h, events
}

// TestOutlierDetection guards against reads that keep going to an instance that fails, also where only replies of its holder tell so;
// against failures that are put down to the wrong instance; and against a detection that works although it is off, or for writes.
func TestOutlierDetection(t *testing.T) {
	failed := statement.Response{Code: model.CodeFailed}
	answered := func(e *execution, id model.InstanceID) {
		e.noteResponse(e.session.host.backend(id), &statement.Response{})
	}
	tests := map[string]struct {
		detection string
		failing   model.InstanceID
		fail      func(e *execution, b *backend)
		ejected   bool
		write     bool
	}{
		"off":               {"off", "i2", func(e *execution, b *backend) { e.noteResponse(b, &failed) }, false, false},
		"failures reported": {"on", "i2", func(e *execution, b *backend) { e.noteResponse(b, &failed) }, true, false},
		"connection broken": {"on", "i2", func(e *execution, b *backend) { e.noteError(b, time.Now(), ErrClosed) }, true, false},
		"told by the holder": {"on", "i2", func(e *execution, b *backend) {
			e.noteReply(&relay.Reply{Failing: b.instance.ID, Refusal: &model.Refusal{}})
		}, true, false},
		"response by the holder":   {"on", "i2", func(e *execution, b *backend) { e.noteReply(&relay.Reply{Instance: b.instance.ID, Response: failed}) }, true, false},
		"holder names no instance": {"on", "i2", func(e *execution, _ *backend) { e.noteReply(&relay.Reply{Refusal: &model.Refusal{}}) }, false, false},
		"no room":                  {"on", "i2", func(e *execution, b *backend) { e.noteResponse(b, &statement.Response{Code: model.CodeSlotsFull}) }, false, false},
		"behind":                   {"on", "i2", func(e *execution, b *backend) { e.noteResponse(b, &statement.Response{Code: model.CodeBehind}) }, false, false},
		"primary, read":            {"on", "i1", func(e *execution, b *backend) { e.noteResponse(b, &failed) }, true, false},
		"primary, write":           {"on", "i1", func(e *execution, b *backend) { e.noteResponse(b, &failed) }, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, events := newOutlierHost(t, test.detection)
			newExecution := func() *execution {
				e := &execution{session: &callerSession{host: h, state: session.NewSession()}, access: model.Read,
					policy: model.Kind{ID: "desk", Database: "seats", Consistency: model.ReadBounded, MaxAge: model.Age(time.Minute)}}
				if test.write {
					e.access = model.Write
				}
				return e
			}
			e, b, rs := newExecution(), h.backend(test.failing), h.replicaSet("seats")
			for range 20 {
				for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
					if id != test.failing {
						answered(e, id)
					}
				}
			}
			for range 10 {
				test.fail(e, b)
			}
			b.noteResponse(time.Now()) // its health check passes
			for _, other := range rs.list() {
				if other != b {
					other.remoteTimes.Observe(time.Now(), "desk", time.Second)
				}
			}
			var placed, probes int
			for range 40 {
				found, ok := newExecution().pickTarget(rs, "i1", &rs.leaving)
				if !ok {
					t.Fatal("got no target, want one")
				}
				if found.choice.Reason == placement.ReasonProbe {
					probes++
				} else if found.backend == b {
					placed++
				}
			}
			logged := 0
			for _, entry := range events.Entries {
				if entry.Fields.Get("instance") == test.failing && strings.Contains(entry.Message, "fails far more") {
					logged++
				}
			}
			wantLogged, wantProbes := 0, 0
			if test.ejected {
				wantLogged = 1
			}
			if test.ejected && !test.write {
				wantProbes = 2
			}
			if logged != wantLogged || probes != wantProbes {
				t.Errorf("got %d events and %d probes, want %d and %d", logged, probes, wantLogged, wantProbes)
			}
			if test.write && placed != 40 {
				t.Errorf("got %d of 40 writes at the primary, want all", placed)
			}
			if test.ejected && !test.write && placed != 0 {
				t.Errorf("got %d reads beside the probes, want none", placed)
			}
			var text bytes.Buffer
			if err := h.writeMetrics(&text); err != nil {
				t.Fatal(err)
			}
			if got := strings.Contains(text.String(), `instance_ejections{instance="`+string(test.failing)+`"} 1`); got != test.ejected {
				t.Errorf("got an ejection in the metrics: %v, want %v", got, test.ejected)
			}
			description := newExecution().explain(rs)
			for i, c := range description.Candidates {
				ejected := test.ejected && rs.list()[i] == b
				if c.ReadsPercent.Set != (test.detection == settingOn) || (c.ReadsPercent.Set && (c.ReadsPercent.Value == 0) != ejected) {
					t.Errorf("got %+v, want its share of reads told, and ejected: %v", c, ejected)
				}
				if !test.write && (c.RuledOut == placement.IsEjected.String()) != ejected {
					t.Errorf("got %s ruled out as %q, want ejected: %v", c.Instance, c.RuledOut, ejected)
				}
			}
		})
	}
}

// TestHolderNamesTheFailingInstance guards against a holder that rejects a request because its instance failed it, without a word of
// that, so that the calling host can't learn of it.
func TestHolderNamesTheFailingInstance(t *testing.T) {
	h, _ := newOutlierHost(t, "off")
	var got []model.InstanceID
	caller := &relayedCaller{session: relay.Session{Reply: func(reply *relay.Reply) error {
		got = append(got, reply.Failing)
		return nil
	}}}
	caller.owner = &callerSession{host: h, state: session.NewSession(), relayed: true}
	e := &execution{session: caller.owner}
	for _, fails := range []bool{false, true, false} {
		caller.apply(&relay.Call{})
		if fails {
			e.noteOutcome(h.backend("i2"), outlier.Failed)
		}
		if err := caller.SendRefusal(model.Refuse(model.CodeBehind, "behind"), statement.Idle); err != nil {
			t.Fatal(err)
		}
	}
	if want := []model.InstanceID{"", "i2", ""}; !slices.Equal(got, want) {
		t.Errorf("got %q as failing in the replies, want %q", got, want)
	}
}
