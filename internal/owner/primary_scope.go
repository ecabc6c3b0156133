package owner

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// primaryScope is the time in which one primary of a database is not replaced.
type primaryScope struct {
	term    model.Term
	primary model.InstanceID
	ctx     context.Context // ends when the primary has been replaced
	cancel  context.CancelFunc
}

// withPrimary returns a context that also ends once the database's primary has been replaced, so that no attempt outlives it.
func (s *Instances) withPrimary(ctx context.Context, database *view.Database) (context.Context, context.CancelFunc) {
	current := s.primaryScope(database)
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(current.ctx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// primaryScope returns the tenure of the database's primary.
func (s *Instances) primaryScope(database *view.Database) *primaryScope {
	s.mutex.RLock()
	current := s.primaryScopes[database.ID]
	s.mutex.RUnlock()
	if current != nil && current.matches(database) {
		return current
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current = s.primaryScopes[database.ID]
	if current != nil && (current.matches(database) || current.term > database.Term) {
		return current
	}
	if current != nil {
		current.cancel()
	}
	current = &primaryScope{term: database.Term, primary: database.Primary}
	current.ctx, current.cancel = context.WithCancel(context.Background())
	s.primaryScopes[database.ID] = current
	return current
}

// matches reports whether the database still has the tenure's primary.
func (t *primaryScope) matches(database *view.Database) bool {
	return t.primary == database.Primary
}

// isOver reports whether another primary serves the database, or another host owns it.
func (t *primaryScope) isOver(database *view.Database, self model.HostID) bool {
	if database == nil || database.Owner != self {
		return true
	}
	return database.Serving && !t.matches(database)
}

// cancelOverScopes ends the tenures of primaries that have been replaced.
func (s *Instances) cancelOverScopes(fleet *view.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, current := range s.primaryScopes {
		if current.isOver(fleet.Databases[id], s.Host) {
			current.cancel()
			delete(s.primaryScopes, id)
		}
	}
}
