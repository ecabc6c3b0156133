package owner

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// tenure is the time in which one primary of a database is not replaced.
type tenure struct {
	term    model.Term
	primary model.InstanceID
	ctx     context.Context // ends when the primary has been replaced
	end     context.CancelFunc
}

// within returns a context that also ends once the database's primary has been replaced, so that no attempt outlives it.
func (s *Instances) within(ctx context.Context, database *view.Database) (context.Context, context.CancelFunc) {
	current := s.tenure(database)
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(current.ctx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// tenure returns the tenure of the database's primary.
func (s *Instances) tenure(database *view.Database) *tenure {
	s.mutex.RLock()
	current := s.tenures[database.ID]
	s.mutex.RUnlock()
	if current != nil && current.holds(database) {
		return current
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current = s.tenures[database.ID]
	if current != nil && (current.holds(database) || current.term > database.Term) {
		return current
	}
	if current != nil {
		current.end()
	}
	current = &tenure{term: database.Term, primary: database.Primary}
	current.ctx, current.end = context.WithCancel(context.Background())
	s.tenures[database.ID] = current
	return current
}

// holds reports whether the database still has the tenure's primary.
func (t *tenure) holds(database *view.Database) bool {
	return t.primary == database.Primary
}

// replaced reports whether another primary serves the database, or another host owns it.
func (t *tenure) replaced(database *view.Database, self model.HostID) bool {
	if database == nil || database.Owner != self {
		return true
	}
	return database.Serving && !t.holds(database)
}

// sweepTenures ends the tenures of primaries that have been replaced.
func (s *Instances) sweepTenures(fleet *view.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, current := range s.tenures {
		if current.replaced(fleet.Databases[id], s.Host) {
			current.end()
			delete(s.tenures, id)
		}
	}
}
