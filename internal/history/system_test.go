package history_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingspread/internal/ack"
	"redwingspread/internal/config"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/proxy"
	"redwingspread/internal/session"
	"redwingspread/internal/view"
)

// system serves requests through a proxy and the owner of the fake database, on one host.
type system struct {
	group    *group
	proxy    *proxy.Proxy
	executor *owner.Executor
	stop     context.CancelFunc
	ends     chan error

	mutex   sync.Mutex
	view    *view.View
	changed chan struct{}
}

// newSystem starts a front of the group, which close ends.
func newSystem(g *group, policy *config.Policy) *system {
	host := model.Host{ID: "h-1"}
	s := &system{
		group:   g,
		ends:    make(chan error, 2),
		changed: make(chan struct{}),
		view: &view.View{Self: host.ID, Policy: policy, Databases: map[model.DatabaseID]*view.Database{
			"seats": {ID: "seats", Owner: host.ID, Term: 1, Primary: "p", Serving: true, Group: []model.InstanceID{"p", "q", "r"}},
		}},
	}
	instances := owner.NewInstances()
	instances.Host, instances.View, instances.Changed = host.ID, s.snapshot, s.change
	instances.Connect = func(i model.Instance) endpoint.Instance { return g.instances[i.ID] }
	s.executor = owner.New()
	s.executor.Host, s.executor.View, s.executor.Changed, s.executor.Instances = host, s.snapshot, s.change, instances
	s.executor.Gate = ack.New()
	s.executor.Gate.Client = instances.Client
	s.executor.Gate.ReadRow = func(context.Context, model.DatabaseID) (model.Ownership, error) {
		return model.Ownership{}, errors.New("the store is down")
	}
	s.proxy = proxy.New()
	s.proxy.Host, s.proxy.View, s.proxy.Changed, s.proxy.Local = host, s.snapshot, s.change, s.executor
	s.proxy.Codec = &session.Codec{Key: []byte("a key of the tests")}
	s.proxy.NewSession = func() model.SessionID { return "s" }
	s.proxy.Limiter.Limit = 1000
	s.observe()
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go instances.Run(ctx, s.ends)
	go s.executor.Run(ctx, s.ends)
	return s
}

// probesEnd is longer than a probe of the gate goes on.
const probesEnd = 10 * time.Second

// close ends the front and waits for it.
func (s *system) close() {
	s.stop()
	<-s.ends
	<-s.ends
	time.Sleep(probesEnd)
}

// snapshot returns the newest view.
func (s *system) snapshot() *view.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view
}

// change returns the channel that closes at the next change.
func (s *system) change() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// observe publishes the state of every instance that can be reached, and the newest primary.
func (s *system) observe() {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := *s.view
	db := *next.Databases["seats"]
	db.Instances = nil
	for _, id := range db.Group {
		f := s.group.instances[id]
		seen := view.Instance{Instance: f.info, Reachable: !f.isolated, State: f.state(), ObservedAt: time.Now()}
		if f.isolated {
			if old := s.view.Databases["seats"].Instance(id); old != nil {
				seen.State, seen.ObservedAt = old.State, old.ObservedAt
			}
		} else if f.role == model.RolePrimary && f.term >= db.Term {
			db.Term, db.Primary, db.Timeline = f.term, id, seen.State.Timeline
		}
		db.Instances = append(db.Instances, seen)
	}
	next.Databases = map[model.DatabaseID]*view.Database{"seats": &db}
	s.view = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// run serves one request and returns the token of its answer; the token is good also when there is an error.
func (s *system) run(ctx context.Context, token string, work model.Work) (model.Result, string, error) {
	request := proxy.Request{
		ID: work.Request, Database: "seats", Kind: "counter", Operation: "list",
		Arguments: work.Statement.Arguments, Token: token, Timeout: 200 * time.Millisecond,
	}
	if work.Statement.Access == model.Write {
		request.Kind = "registration"
	}
	answer, err := s.proxy.Execute(ctx, request)
	var refused *proxy.RefusedError
	switch {
	case errors.As(err, &refused):
		return model.Result{}, refused.Token, err
	case err != nil:
		return model.Result{}, token, err
	}
	return answer.Result, answer.Token, nil
}
