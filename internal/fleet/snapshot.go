package fleet

import (
	"maps"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Snapshot returns the view for traffic. It shares unchanged parts with the previous view.
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
	for id, d := range m.databases {
		published.Databases[id] = m.databaseView(d)
	}
	m.published = published
	return published
}

// refreshView returns the published view, updated for the databases with newly reported instance states.
func (m *Machine) refreshView() *view.View {
	if len(m.dirtyDatabases) == 0 {
		return m.published
	}
	next := *m.published
	next.Databases = maps.Clone(m.published.Databases)
	for _, d := range m.dirtyDatabases {
		next.Databases[d.id] = m.databaseView(d)
	}
	m.dirtyDatabases = m.dirtyDatabases[:0]
	m.published = &next
	return m.published
}

// databaseView returns the view of one database.
func (m *Machine) databaseView(d *database) *view.Database {
	result := &view.Database{
		ID:       d.id,
		Owner:    d.row.Owner,
		Term:     d.row.Term,
		Primary:  d.row.Primary,
		Timeline: m.newestTimeline(d),
		Serving:  m.owns(d) && d.leadership.serving && !d.leadership.superseded,
		Group:    d.row.Instances,
	}
	if d.ownerHint.Term > d.row.Term {
		result.Owner, result.Term, result.Primary = d.ownerHint.Owner, d.ownerHint.Term, d.ownerHint.Primary
	}
	if result.Primary == "" && d.leadership.chosen != "" {
		result.Primary = d.leadership.chosen
	}
	for _, id := range d.instanceIDs() {
		member := d.instances[id]
		result.Instances = append(result.Instances, view.Instance{
			Instance:   member.Instance,
			State:      member.state,
			ObservedAt: member.observedAt,
			Reachable:  member.answers(),
		})
	}
	return result
}
