package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// storeDownFailures is the number of failed reads in turn after which the store counts as down.
const storeDownFailures = 3

// handleRowsRead takes the table's changes.
func (m *Machine) handleRowsRead(now time.Time, event RowsRead) []Action {
	before := m.rowPoll.failures
	m.rowPoll.finish(now, m.Timing.PollIntervalFor(m.members.Size()), event.Err)
	if event.Err != nil {
		if m.rowPoll.failures == storeDownFailures {
			m.log(LogEntry{Kind: LogStoreDown, Err: event.Err})
		}
		return m.requestFleet()
	}
	if before >= storeDownFailures {
		m.log(LogEntry{Kind: LogStoreUp})
	}
	actions := m.handleHeader(now, event.Header)
	m.rowsLoaded = true
	m.revision = max(m.revision, event.Revision)
	for _, row := range event.Rows {
		m.applyRow(now, row)
	}
	for _, id := range m.databaseIDs {
		if known := m.databases[id]; known.rowUncertain {
			known.rowUncertain = m.rowPoll.next.IsZero()
			actions = append(actions, m.reconcile(now, known)...)
		}
	}
	return actions
}

// applyRow takes one row.
func (m *Machine) applyRow(now time.Time, row model.Ownership) {
	known := m.ensureDatabase(row.Database)
	mine := m.owns(known)
	dead := m.members.State(row.Owner, row.Incarnation) == view.Dead
	former := known.row.Term
	if known.applyRow(now, row) {
		m.activateSwitchover(known, former)
		known.ownerReturned = dead
		m.applyOwnerUpdate(OwnerUpdate{row.Database, row.Owner, row.Term, row.Primary})
		if former > 0 || m.owns(known) {
			m.gossipOwner(known) // rows of the first read are known to all
		}
		m.dirty = true
		if mine && !m.owns(known) {
			known.losses++
			m.log(LogEntry{Kind: LogReplaced, Database: row.Database, Term: row.Term, Host: row.Owner})
		}
	}
}

// gossipOwner spreads who owns a database.
func (m *Machine) gossipOwner(d *database) {
	const tellings = 6
	m.ownerGossip.Add(d.id, d.ownerHint, tellings*m.members.GossipRounds())
}

// applyOwnerUpdate takes news of an owner; it only steers traffic, and makes a replaced owner read the table.
func (m *Machine) applyOwnerUpdate(news OwnerUpdate) {
	known := m.databases[news.Database]
	if known == nil || news.Term < known.ownerHint.Term || news == known.ownerHint {
		return
	}
	if news.Term == known.ownerHint.Term && (news.Primary == "" || known.ownerHint.Primary != "") {
		return
	}
	known.ownerHint = news
	m.dirty = true
	if news.Term > known.row.Term {
		m.gossipOwner(known)
		m.markSuperseded(known, news.Term)
	}
}

// markSuperseded stops this host's service of a database when a higher term is known, and has the table read.
func (m *Machine) markSuperseded(d *database, term model.Term) {
	if term <= d.row.Term || !m.owns(d) || d.leadership.superseded {
		return
	}
	d.leadership.superseded = true
	d.leadership.serving = false
	d.rowUncertain = true
	m.rowPoll.requestNow()
	m.dirty = true
}

// owns reports whether the row names this run of this host.
func (m *Machine) owns(d *database) bool {
	return d.row.Version > 0 && d.row.Owner == m.Self.ID && d.row.Incarnation == m.Incarnation
}
