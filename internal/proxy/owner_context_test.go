package proxy

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/view"
)

// fakePeer is the service of one host, which never answers when the host is dead.
type fakePeer struct {
	owner.Service
	host model.HostID
	dead map[model.HostID]bool
}

// Execute answers at once, or blocks until the context ends when the host is dead.
func (s fakePeer) Execute(ctx context.Context, work model.Work) (model.Result, error) {
	if s.dead[s.host] {
		<-ctx.Done()
		return model.Result{}, model.OutcomeUnknown("%v", ctx.Err())
	}
	return model.Result{Request: work.Request, Succeeded: true, Instance: model.InstanceID(s.host)}, nil
}

func TestForwardAbandonsReplacedOwner(t *testing.T) {
	tests := map[string]struct {
		state view.Liveness // liveness of h-2
		next  model.HostID  // owner after the change
		want  []string      // answering host or refusal code of the two requests, in order of completion
	}{
		"dead owner is replaced":   {state: view.Dead, next: "h-3", want: []string{"h-3", "h-3"}},
		"leaving owner hands over": {state: view.Leaving, next: "h-3", want: []string{"h-3", string(model.CodeOutcomeUnknown)}},
		"dead owner stays":         {state: view.Dead, next: "h-2", want: []string{string(model.CodeOutcomeUnknown), string(model.CodeOutcomeUnknown)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mutex sync.Mutex
				current := model.HostID("h-2")
				p := New()
				p.Host.ID = "h-1"
				p.Changed = func() <-chan struct{} { return nil }
				p.View = func() *view.View {
					mutex.Lock()
					defer mutex.Unlock()
					return &view.View{
						Hosts:     map[model.HostID]view.Host{"h-2": {Host: model.Host{ID: "h-2"}, Liveness: test.state}, "h-3": {Host: model.Host{ID: "h-3"}}},
						Databases: map[model.DatabaseID]*view.Database{"seats": {ID: "seats", Owner: current}},
					}
				}
				p.Peer = func(host model.Host) owner.Service {
					return fakePeer{host: host.ID, dead: map[model.HostID]bool{"h-2": true}}
				}
				send := func(request model.RequestID) string {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					result, err := p.forward(ctx, model.Work{Request: request, Database: "seats"}, owner.Service.Execute)
					if err != nil {
						return string(model.CodeOf(err))
					}
					return string(result.Instance)
				}
				answers := make(chan string, 2)
				go func() { answers <- send("w-1") }()
				synctest.Wait()
				mutex.Lock()
				current = test.next
				mutex.Unlock()
				go func() { answers <- send("w-2") }()
				if got := []string{<-answers, <-answers}; !slices.Equal(got, test.want) {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}
