package owner

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// primaryScope holds a context that lasts as long as one instance remains the primary of a database.
type primaryScope struct {
	term    model.Term
	primary model.InstanceID
	ctx     context.Context // cancelled once the primary has been replaced
	cancel  context.CancelFunc
}

// withPrimary returns a context that is also cancelled once the database's primary is replaced, so that no attempt outlives it.
func (s *Instances) withPrimary(ctx context.Context, database *view.Database) (context.Context, context.CancelFunc) {
	current := s.currentPrimaryScope(database)
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(current.ctx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// currentPrimaryScope returns the scope of the database's primary; a view older than the known scope gets the known one.
func (s *Instances) currentPrimaryScope(database *view.Database) *primaryScope {
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

// matches reports whether the database still has the scope's primary.
func (p *primaryScope) matches(database *view.Database) bool {
	return p.primary == database.Primary
}

// hasEnded reports whether the database is served by another primary, owned by another host or unknown.
func (p *primaryScope) hasEnded(database *view.Database, self model.HostID) bool {
	if database == nil || database.Owner != self {
		return true
	}
	return database.Serving && !p.matches(database)
}

// cancelEndedScopes cancels the scopes of primaries that have been replaced and of databases that this host does not own.
func (s *Instances) cancelEndedScopes(currentView *view.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, current := range s.primaryScopes {
		if current.hasEnded(currentView.Databases[id], s.Host) {
			current.cancel()
			delete(s.primaryScopes, id)
		}
	}
}
