package proxy

import (
	"context"
	"sync"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// ownerContexts gives attempts up whose owner has been replaced, so that they need not wait for the answer of a dead host.
type ownerContexts struct {
	mutex   sync.Mutex
	current map[model.DatabaseID]*ownerContext
}

// ownerContext is the time of one owner of a database.
type ownerContext struct {
	owner   model.HostID
	context context.Context
	cancel  context.CancelFunc
}

// newOwnerContexts returns an empty set.
func newOwnerContexts() *ownerContexts {
	return &ownerContexts{current: map[model.DatabaseID]*ownerContext{}}
}

// attach returns a context that ends with the owner's tenure, which the next attempt towards another owner ends.
func (t *ownerContexts) attach(ctx context.Context, fleet *view.View, database *view.Database) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.get(fleet, database), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// get returns the context of the owner's tenure; that of a former owner which still lives goes on, so that a hand-over cuts nothing off.
func (t *ownerContexts) get(fleet *view.View, database *view.Database) context.Context {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.current[database.ID]
	if current != nil && current.owner == database.Owner {
		return current.context
	}
	if current != nil && !mayAnswer(fleet, current.owner) {
		current.cancel()
	}
	next := &ownerContext{owner: database.Owner}
	next.context, next.cancel = context.WithCancel(context.Background())
	t.current[database.ID] = next
	return next.context
}

// mayAnswer reports whether the host may still answer.
func mayAnswer(fleet *view.View, id model.HostID) bool {
	host, found := fleet.Hosts[id]
	return found && host.Liveness != view.Dead && host.Liveness != view.Suspect
}
