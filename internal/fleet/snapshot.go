package fleet

import (
	"maps"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// Snapshot returns the view for traffic; parts that did not change are shared with the former one.
func (m *Machine) Snapshot() *view.View {
	if !m.dirty && m.published != nil {
		return m.refreshed()
	}
	m.dirty = false
	m.freshened = m.freshened[:0]
	published := &view.View{
		Self:      m.Self.ID,
		Hosts:     m.members.Hosts(),
		Databases: make(map[model.DatabaseID]*view.Database, len(m.databases)),
		Policy:    m.policy(),
		Stopping:  m.stopping,
	}
	for id, known := range m.databases {
		published.Databases[id] = m.viewOf(known)
	}
	m.published = published
	return published
}

// refreshed returns the published view, with the databases whose instances told their states anew.
func (m *Machine) refreshed() *view.View {
	if len(m.freshened) == 0 {
		return m.published
	}
	next := *m.published
	next.Databases = maps.Clone(m.published.Databases)
	for _, known := range m.freshened {
		next.Databases[known.id] = m.viewOf(known)
	}
	m.freshened = m.freshened[:0]
	m.published = &next
	return m.published
}

// viewOf returns one database as traffic sees it.
func (m *Machine) viewOf(d *database) *view.Database {
	seen := &view.Database{
		ID:       d.id,
		Owner:    d.row.Owner,
		Term:     d.row.Term,
		Primary:  d.row.Primary,
		Timeline: m.timelineOf(d),
		Serving:  m.mine(d) && d.leadership.serving && !d.leadership.replaced,
		Group:    d.row.Instances,
	}
	if d.hint.Term > d.row.Term {
		seen.Owner, seen.Term, seen.Primary = d.hint.Owner, d.hint.Term, d.hint.Primary
	}
	if seen.Primary == "" && d.leadership.chosen != "" {
		seen.Primary = d.leadership.chosen
	}
	for _, id := range d.listed() {
		known := d.instances[id]
		seen.Instances = append(seen.Instances, view.Instance{
			Instance:   known.Instance,
			State:      known.state,
			ObservedAt: known.observed,
			Reachable:  known.answers(),
		})
	}
	return seen
}
