package owner

import (
	"context"
	"sync"

	"redwingspread/internal/dispatch"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Instances holds a client and a dispatcher for each instance of the databases that this host owns.
type Instances struct {
	// Host is the id of this host.
	Host model.HostID
	// View returns the current view of the fleet.
	View func() *view.View
	// Changed returns a channel that is closed when the view changes.
	Changed func() <-chan struct{}
	// Connect creates the client of an instance.
	Connect func(model.Instance) endpoint.Instance

	mutex         sync.RWMutex
	unresolved    *unresolvedWrites
	clients       map[model.InstanceID]endpoint.Instance
	dispatchers   map[model.InstanceID]*runningDispatcher
	baseContext   context.Context
	stopped       chan error // receives the end of each dispatcher
	stopping      int        // number of dispatchers told to stop whose end is still to come; used only by Run's goroutine
	primaryScopes map[model.DatabaseID]*primaryScope
}

// runningDispatcher is a dispatcher and the function that stops it.
type runningDispatcher struct {
	dispatcher *dispatch.Dispatcher
	database   model.DatabaseID
	term       model.Term // database's term at the last reconciliation
	stop       context.CancelFunc
}

// NewInstances returns an empty set of instances; set its exported fields before Run.
func NewInstances() *Instances {
	return &Instances{
		unresolved:    newUnresolvedWrites(),
		clients:       map[model.InstanceID]endpoint.Instance{},
		dispatchers:   map[model.InstanceID]*runningDispatcher{},
		baseContext:   context.Background(),
		stopped:       make(chan error),
		primaryScopes: map[model.DatabaseID]*primaryScope{},
	}
}

// Client returns the client of an instance, creating it on first use.
func (s *Instances) Client(instance model.Instance) endpoint.Instance {
	s.mutex.RLock()
	client := s.clients[instance.ID]
	s.mutex.RUnlock()
	if client != nil {
		return client
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connect(instance)
}

// connect returns the client of an instance, creating it on first use; the caller holds the mutex.
func (s *Instances) connect(instance model.Instance) endpoint.Instance {
	if client := s.clients[instance.ID]; client != nil {
		return client
	}
	client := s.Connect(instance)
	s.clients[instance.ID] = client
	return client
}

// Dispatcher returns the dispatcher of an instance, starting it on first use.
func (s *Instances) Dispatcher(instance view.Instance) *dispatch.Dispatcher {
	s.mutex.RLock()
	current := s.dispatchers[instance.ID]
	s.mutex.RUnlock()
	if current != nil {
		return current.dispatcher
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.dispatchers[instance.ID]; current != nil {
		return current.dispatcher
	}
	return s.start(instance)
}

// start starts the dispatcher of an instance; the caller holds the mutex.
func (s *Instances) start(instance view.Instance) *dispatch.Dispatcher {
	dispatcher := dispatch.New()
	dispatcher.Host = s.Host
	dispatcher.Database = instance.Database
	dispatcher.Instance = s.unresolved.wrap(s.connect(instance.Instance))
	updateLimits(s.View(), &instance, dispatcher)
	ctx, stop := context.WithCancel(s.baseContext)
	s.dispatchers[instance.ID] = &runningDispatcher{dispatcher: dispatcher, database: instance.Database, stop: stop}
	go dispatcher.Run(ctx, s.stopped)
	return dispatcher
}

// Run reconciles the dispatchers with each new view, and stops them all when the context ends.
func (s *Instances) Run(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		changed := s.Changed()
		s.reconcile()
		select {
		case <-ctx.Done():
		case <-s.stopped:
			s.stopping--
		case <-changed:
		}
	}
	s.stopAll()
	done <- nil
}

// reconcile stops the dispatchers of databases that this host no longer owns, updates the limits of the others and flushes
// their queues when the term has changed.
func (s *Instances) reconcile() {
	currentView := s.View()
	s.cancelEndedScopes(currentView)
	for id, current := range s.list() {
		database := currentView.Databases[current.database]
		if database == nil || database.Owner != s.Host {
			s.stop(id, current)
			continue
		}
		updateLimits(currentView, database.Instance(id), current.dispatcher)
		if database.Term != current.term {
			current.term = database.Term
			current.dispatcher.Flush()
		}
	}
}

// list returns a copy of the map of running dispatchers.
func (s *Instances) list() map[model.InstanceID]*runningDispatcher {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	list := make(map[model.InstanceID]*runningDispatcher, len(s.dispatchers))
	for id, current := range s.dispatchers {
		list[id] = current
	}
	return list
}

// stop tells a dispatcher to stop; work that it is running may take a while to end.
func (s *Instances) stop(id model.InstanceID, current *runningDispatcher) {
	s.mutex.Lock()
	delete(s.dispatchers, id)
	s.mutex.Unlock()
	current.stop()
	s.stopping++
}

// stopAll stops every dispatcher and waits until all have ended.
func (s *Instances) stopAll() {
	for id, current := range s.list() {
		s.stop(id, current)
	}
	for ; s.stopping > 0; s.stopping-- {
		<-s.stopped
	}
}
