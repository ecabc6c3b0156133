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

// proxyServer serves requests through a proxy and an owner executor of one host, in front of the fake database.
type proxyServer struct {
	database *fakeDatabase
	proxy    *proxy.Proxy
	executor *owner.Executor
	stop     context.CancelFunc
	done     chan error

	mutex   sync.Mutex
	view    *view.View
	changed chan struct{}
}

// newProxyServer starts a server of the fake database, which close stops.
func newProxyServer(database *fakeDatabase, policy *config.Policy) *proxyServer {
	host := model.Host{ID: "h-1"}
	s := &proxyServer{
		database: database,
		done:     make(chan error, 2),
		changed:  make(chan struct{}),
		view: &view.View{Self: host.ID, Policy: policy, Databases: map[model.DatabaseID]*view.Database{
			"seats": {ID: "seats", Owner: host.ID, Term: 1, Primary: "p", Serving: true, Group: []model.InstanceID{"p", "q", "r"}},
		}},
	}
	instances := owner.NewInstances()
	instances.Host, instances.View, instances.Changed = host.ID, s.snapshot, s.changes
	instances.Connect = func(i model.Instance) endpoint.Instance { return database.instances[i.ID] }
	s.executor = owner.New()
	s.executor.Host, s.executor.View, s.executor.Changed, s.executor.Instances = host, s.snapshot, s.changes, instances
	s.executor.Gate = ack.New()
	s.executor.Gate.Client = instances.Client
	s.executor.Gate.ReadRow = func(context.Context, model.DatabaseID) (model.Ownership, error) {
		return model.Ownership{}, errors.New("store unavailable")
	}
	s.proxy = proxy.New()
	s.proxy.Host, s.proxy.View, s.proxy.Changed, s.proxy.Local = host, s.snapshot, s.changes, s.executor
	s.proxy.Codec = &session.Codec{Key: []byte("test key")}
	s.proxy.NewSession = func() model.SessionID { return "s" }
	s.proxy.Limiter.Limit = 1000
	s.observe()
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go instances.Run(ctx, s.done)
	go s.executor.Run(ctx, s.done)
	return s
}

// maxProbeTime is longer than any probe of the gate lasts.
const maxProbeTime = 10 * time.Second

// close stops the server and waits for its goroutines and probes.
func (s *proxyServer) close() {
	s.stop()
	<-s.done
	<-s.done
	time.Sleep(maxProbeTime)
}

// snapshot returns the current view.
func (s *proxyServer) snapshot() *view.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view
}

// changes returns a channel that is closed at the next change of the view.
func (s *proxyServer) changes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// observe publishes a view with the state of every reachable instance and the newest primary.
func (s *proxyServer) observe() {
	s.database.mutex.Lock()
	defer s.database.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := *s.view
	db := *next.Databases["seats"]
	db.Instances = nil
	for _, id := range db.Group {
		f := s.database.instances[id]
		status := view.Instance{Instance: f.info, Reachable: !f.isolated, State: f.state(), ObservedAt: time.Now()}
		if f.isolated {
			if old := s.view.Databases["seats"].Instance(id); old != nil {
				status.State, status.ObservedAt = old.State, old.ObservedAt
			}
		} else if f.role == model.RolePrimary && f.term >= db.Term {
			db.Term, db.Primary, db.Timeline = f.term, id, status.State.Timeline
		}
		db.Instances = append(db.Instances, status)
	}
	next.Databases = map[model.DatabaseID]*view.Database{"seats": &db}
	s.view = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// run serves one request and returns the session token to send next, which is valid also after an error.
func (s *proxyServer) run(ctx context.Context, token string, work model.Work) (model.Result, string, error) {
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
