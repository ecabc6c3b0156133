package front

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/relay"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
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

// TestStoppingHolder guards against a request that is refused for lack of time since it waited at a holder that stops: the host that
// passed it on has to hear at once that nothing ran. A transaction that is open goes on.
func TestStoppingHolder(t *testing.T) {
	const stopAt, startLimit = 100 * time.Millisecond, time.Second
	write, commit := statement.Write, statement.Commit
	tests := map[string]struct {
		transaction bool             // the session is one transaction
		connections bool             // the holder can open connections
		waiting     []statement.Verb // sent at once
		after       []statement.Verb // sent after the stop has begun
		want        []model.Code
	}{
		"a write that waits for a connection":       {waiting: []statement.Verb{write}, want: []model.Code{model.CodeStopping}},
		"a transaction that waits for a connection": {transaction: true, waiting: []statement.Verb{write}, want: []model.Code{model.CodeStopping}},
		"a write that comes later":                  {connections: true, after: []statement.Verb{write}, want: []model.Code{model.CodeStopping}},
		"a transaction that comes later":            {transaction: true, connections: true, after: []statement.Verb{write}, want: []model.Code{model.CodeStopping}},
		"a transaction that is open":                {transaction: true, connections: true, waiting: []statement.Verb{write}, after: []statement.Verb{write, commit}, want: []model.Code{"", "", ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kind := model.Kind{ID: "desk", Database: "seats", Rank: model.RankOne, Goal: 4 * time.Second, Timeout: 5 * time.Second}
				h := New()
				h.Loop = control.New(fixedView{&controller.View{
					Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": kind}},
					Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
				}})
				h.Platform, h.Logger = agreeingPlatform{}, quietLogger()
				if !test.connections {
					h.Platform = hangingPlatform{}
				}
				b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}})
				defer b.close()
				b.scheduler.SetLimits(2, 2, false)
				var got []model.Code
				caller := &relayedCaller{session: relay.Session{Reply: func(reply *relay.Reply) error {
					code := reply.Response.Code
					if reply.Refusal != nil {
						code = reply.Refusal.Code
						if !reply.Refusal.NotRun {
							t.Errorf("got refusal %v, want one of work that has not run", reply.Refusal)
						}
					}
					got = append(got, code)
					return nil
				}}, interrupts: make(chan struct{}, 1)}
				s := &callerSession{host: h, caller: caller, kind: "desk", policy: kind, state: session.NewSession(), relayed: true}
				caller.owner = s
				s.startLimit, s.responseLimit = time.Now().Add(startLimit), time.Now().Add(5*time.Second)
				if test.transaction {
					s.state.Transaction = statement.Open
				}
				h.addSession(s)
				run := func(verbs []statement.Verb) {
					for _, verb := range verbs {
						if err := s.handle(t.Context(), statement.Request{ID: "r", Statement: statement.Statement{Verb: verb, Text: "a"}}); err != nil {
							t.Error(err)
						}
					}
				}
				begun := time.Now()
				time.AfterFunc(stopAt, h.beginStop)
				run(test.waiting)
				time.Sleep(time.Until(begun.Add(2 * stopAt))) // of the fake clock
				synctest.Wait()
				run(test.after)
				if !slices.Equal(got, test.want) {
					t.Errorf("got %q, want %q", got, test.want)
				}
				if took := time.Since(begun); took > 2*stopAt {
					t.Errorf("got the answers after %v, want them once the stop has begun", took)
				}
			})
		})
	}
}

// TestExtendStart guards against a statement that loses its time to a holder's planned stop.
func TestExtendStart(t *testing.T) {
	const goal, timeout = 400 * time.Millisecond, 2 * time.Second
	tests := map[string]struct {
		refusal *model.Refusal
		waited  time.Duration // since the statement's arrival
		want    time.Duration // by which it has to be sent, since its arrival
	}{
		"none":                         {waited: 90 * time.Millisecond, want: 100 * time.Millisecond},
		"another primary":              {refusal: model.Refuse(model.CodeBehind, "behind"), waited: 90 * time.Millisecond, want: 100 * time.Millisecond},
		"stopping":                     {refusal: refuseStopping(), waited: 90 * time.Millisecond, want: 190 * time.Millisecond},
		"stopping, the time was over":  {refusal: refuseStopping(), waited: 500 * time.Millisecond, want: 600 * time.Millisecond},
		"stopping, near the deadline":  {refusal: refuseStopping(), waited: 1950 * time.Millisecond, want: timeout},
		"stopping, after the deadline": {refusal: refuseStopping(), waited: 3 * time.Second, want: timeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				e := &execution{policy: model.Kind{Goal: goal}, deadline: begun.Add(timeout), startBy: begun.Add(goal / 4)}
				time.Sleep(test.waited)
				e.extendStart(test.refusal)
				if got := e.startBy.Sub(begun); got != test.want {
					t.Errorf("got a start by %v, want %v", got, test.want)
				}
			})
		})
	}
}
