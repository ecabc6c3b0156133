package proxy

import (
	"context"
	"sync"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// tenures gives attempts up whose owner has been replaced, so that they need not wait for the answer of a dead host.
type tenures struct {
	mutex   sync.Mutex
	current map[model.DatabaseID]*tenure
}

// tenure is the time of one owner of a database.
type tenure struct {
	owner   model.HostID
	context context.Context
	end     context.CancelFunc
}

// newTenures returns an empty set.
func newTenures() *tenures {
	return &tenures{current: map[model.DatabaseID]*tenure{}}
}

// within returns a context that ends with the owner's tenure, which the next attempt towards another owner ends.
func (t *tenures) within(ctx context.Context, fleet *view.View, database *view.Database) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.of(fleet, database), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// of returns the context of the owner's tenure; that of a former owner which still lives goes on, so that a hand-over cuts nothing off.
func (t *tenures) of(fleet *view.View, database *view.Database) context.Context {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.current[database.ID]
	if current != nil && current.owner == database.Owner {
		return current.context
	}
	if current != nil && !lives(fleet, current.owner) {
		current.end()
	}
	next := &tenure{owner: database.Owner}
	next.context, next.end = context.WithCancel(context.Background())
	t.current[database.ID] = next
	return next.context
}

// lives reports whether the host may still answer.
func lives(fleet *view.View, id model.HostID) bool {
	host, found := fleet.Hosts[id]
	return found && host.Liveness != view.Dead && host.Liveness != view.Suspect
}
