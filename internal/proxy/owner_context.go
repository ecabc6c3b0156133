package proxy

import (
	"context"
	"sync"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// ownerContexts cancels attempts at an owner that failed and was replaced, so that they do not wait for the answer of a dead host.
type ownerContexts struct {
	mutex   sync.Mutex
	current map[model.DatabaseID]*ownerContext
}

// ownerContext is the context shared by all attempts at one owner of a database.
type ownerContext struct {
	owner   model.HostID
	context context.Context
	cancel  context.CancelFunc
}

// newOwnerContexts returns a set without contexts.
func newOwnerContexts() *ownerContexts {
	return &ownerContexts{current: map[model.DatabaseID]*ownerContext{}}
}

// attach derives a context from ctx that also ends with the owner's context; the first attempt at a new owner cancels that of a failed one.
func (o *ownerContexts) attach(ctx context.Context, currentView *view.View, database *view.Database) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(o.get(currentView, database), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// get returns the context of the current owner. A former owner that is still alive keeps its context, so that a hand-over cancels nothing.
func (o *ownerContexts) get(currentView *view.View, database *view.Database) context.Context {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	current := o.current[database.ID]
	if current != nil && current.owner == database.Owner {
		return current.context
	}
	if current != nil && !mayAnswer(currentView, current.owner) {
		current.cancel()
	}
	next := &ownerContext{owner: database.Owner}
	next.context, next.cancel = context.WithCancel(context.Background())
	o.current[database.ID] = next
	return next.context
}

// mayAnswer reports whether the host is known and neither dead nor suspect.
func mayAnswer(currentView *view.View, id model.HostID) bool {
	host, found := currentView.Hosts[id]
	return found && host.Liveness != view.Dead && host.Liveness != view.Suspect
}
