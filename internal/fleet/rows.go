package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// failsOfOutage is the number of failed reads in turn after which the store counts as down.
const failsOfOutage = 3

// rowsRead takes the table's changes.
func (m *Machine) rowsRead(now time.Time, event RowsRead) []Action {
	before := m.rows.fails
	m.rows.end(now, m.Timing.Poll(m.members.Size()), event.Err)
	if event.Err != nil {
		if m.rows.fails == failsOfOutage {
			m.note(Note{Kind: NoteStoreDown, Err: event.Err})
		}
		return m.askFleet()
	}
	if before >= failsOfOutage {
		m.note(Note{Kind: NoteStoreUp})
	}
	actions := m.headRead(now, event.Head)
	m.loaded = true
	m.revision = max(m.revision, event.Revision)
	for _, row := range event.Rows {
		m.learn(now, row)
	}
	for _, id := range m.order {
		if known := m.databases[id]; known.doubt {
			known.doubt = m.rows.next.IsZero()
			actions = append(actions, m.reconcile(now, known)...)
		}
	}
	return actions
}

// learn takes one row.
func (m *Machine) learn(now time.Time, row model.Ownership) {
	known := m.database(row.Database)
	mine := m.mine(known)
	dead := m.members.State(row.Owner, row.Incarnation) == view.Dead
	former := known.row.Term
	if known.learn(now, row) {
		m.plan(known, former)
		known.returned = dead
		m.hint(OwnerNews{row.Database, row.Owner, row.Term, row.Primary})
		if former > 0 || m.mine(known) {
			m.tell(known) // rows of the first read are known to all
		}
		m.dirty = true
		if mine && !m.mine(known) {
			known.losses++
			m.note(Note{Kind: NoteReplaced, Database: row.Database, Term: row.Term, Host: row.Owner})
		}
	}
}

// tell spreads who owns a database.
func (m *Machine) tell(d *database) {
	const tellings = 6
	m.owners.Add(d.id, d.hint, tellings*m.members.GossipRounds())
}

// hint takes news of an owner; it only steers traffic, and makes a replaced owner read the table.
func (m *Machine) hint(news OwnerNews) {
	known := m.databases[news.Database]
	if known == nil || news.Term < known.hint.Term || news == known.hint {
		return
	}
	if news.Term == known.hint.Term && (news.Primary == "" || known.hint.Primary != "") {
		return
	}
	known.hint = news
	m.dirty = true
	if news.Term > known.row.Term {
		m.tell(known)
		m.replaced(known, news.Term)
	}
}

// replaced stops this host's service of a database when a higher term is known, and has the table read.
func (m *Machine) replaced(d *database, term model.Term) {
	if term <= d.row.Term || !m.mine(d) || d.leadership.replaced {
		return
	}
	d.leadership.replaced = true
	d.leadership.serving = false
	d.doubt = true
	m.rows.soon()
	m.dirty = true
}

// mine reports whether the row names this run of this host.
func (m *Machine) mine(d *database) bool {
	return d.row.Version > 0 && d.row.Owner == m.Self.ID && d.row.Incarnation == m.Incarnation
}
