package front

import (
	"context"
	"testing"
	"time"

	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// hangingPlatform is a platform whose instances never complete a connection.
type hangingPlatform struct{ Platform }

// Dial waits for the end of the context.
func (hangingPlatform) Dial(ctx context.Context, _ directory.Instance, _ model.TenantID) (InstanceConn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestWorkMovesFromAnInstanceThatIsGone removes an instance for which a statement waits: the statement didn't run, and is tried
// again unless the host itself stops.
func TestWorkMovesFromAnInstanceThatIsGone(t *testing.T) {
	tests := map[string]struct {
		access    model.Access
		others    []model.InstanceID // instances that remain
		exhausted bool               // the time in which the statement had to be sent is over
		stage     int32
		want      bool
	}{
		"read, a replica remains":        {access: model.Read, others: []model.InstanceID{"i2"}, want: true},
		"write, whose primary will come": {access: model.Write, others: []model.InstanceID{"i2"}, want: true},
		"write, nothing remains":         {access: model.Write, want: true},
		"no time left":                   {access: model.Write, exhausted: true},
		"the host stops":                 {access: model.Read, others: []model.InstanceID{"i2"}, stage: stageTerminating},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.Loop = control.New(controller.New())
			h.Platform = hangingPlatform{}
			h.Logger = quietLogger()
			h.stage.Store(test.stage)
			gone := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}})
			for _, id := range test.others {
				b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: id, Database: "seats"}})
				defer b.close()
			}
			s := &callerSession{host: h}
			e := s.newExecution(statement.Request{}, model.Kind{Database: "seats", Goal: time.Minute, Timeout: time.Minute, Consistency: model.ReadBounded, MaxAge: model.Age(time.Minute), Rank: model.RankOne})
			e.access = test.access
			refused := make(chan error, 1)
			go func() {
				_, err := e.acquire(t.Context(), target{backend: gone})
				refused <- err
			}()
			for gone.scheduler.Pool.Counts().Opening == 0 {
				time.Sleep(time.Millisecond)
			}
			h.removeBackend(gone)
			gone.close()
			refusal := asRefusal(<-refused)
			if refusal.Code != model.CodeStopping || !refusal.NotRun {
				t.Fatalf("got %+v, want a refusal of a scheduler that stopped", refusal)
			}
			if test.exhausted {
				e.startBy = time.Now()
			}
			if got := e.mayTryAnother(refusal, test.access == model.Read) && e.prepareRetry(t.Context(), refusal.Message, 0); got != test.want {
				t.Errorf("got tried again: %v, want %v", got, test.want)
			}
		})
	}
}
