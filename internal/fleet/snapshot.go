package fleet

import (
	"maps"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Snapshot returns the view for traffic; parts that did not change are shared with the former one.
func (m *Machine) Snapshot() *view.View {
	if !m.dirty && m.published != nil {
		return m.refreshView()
	}
	m.dirty = false
	m.dirtyDatabases = m.dirtyDatabases[:0]
	published := &view.View{
		Self:      m.Self.ID,
		Hosts:     m.members.Hosts(),
		Databases: make(map[model.DatabaseID]*view.Database, len(m.databases)),
		Policy:    m.policy(),
		Stopping:  m.stopping,
	}
	for id, known := range m.databases {
		published.Databases[id] = m.databaseView(known)
	}
	m.published = published
	return published
}

// refreshView returns the published view, with the databases whose instances told their states anew.
func (m *Machine) refreshView() *view.View {
	if len(m.dirtyDatabases) == 0 {
		return m.published
	}
	next := *m.published
	next.Databases = maps.Clone(m.published.Databases)
	for _, known := range m.dirtyDatabases {
		next.Databases[known.id] = m.databaseView(known)
	}
	m.dirtyDatabases = m.dirtyDatabases[:0]
	m.published = &next
	return m.published
}

// databaseView returns one database as traffic sees it.
func (m *Machine) databaseView(d *database) *view.Database {
	seen := &view.Database{
		ID:       d.id,
		Owner:    d.row.Owner,
		Term:     d.row.Term,
		Primary:  d.row.Primary,
		Timeline: m.newestTimeline(d),
		Serving:  m.owns(d) && d.leadership.serving && !d.leadership.superseded,
		Group:    d.row.Instances,
	}
	if d.ownerHint.Term > d.row.Term {
		seen.Owner, seen.Term, seen.Primary = d.ownerHint.Owner, d.ownerHint.Term, d.ownerHint.Primary
	}
	if seen.Primary == "" && d.leadership.chosen != "" {
		seen.Primary = d.leadership.chosen
	}
	for _, id := range d.instanceIDs() {
		known := d.instances[id]
		seen.Instances = append(seen.Instances, view.Instance{
			Instance:   known.Instance,
			State:      known.state,
			ObservedAt: known.observedAt,
			Reachable:  known.answers(),
		})
	}
	return seen
}
