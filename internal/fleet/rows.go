package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// storeDownFailures is the number of consecutive failed reads after which the store counts as down.
const storeDownFailures = 3

// handleRowsRead processes the rows that changed.
func (m *Machine) handleRowsRead(now time.Time, event RowsRead) []Action {
	failures := m.rowPoll.failures
	m.rowPoll.finish(now, m.Timing.PollIntervalFor(m.members.Size()), event.Err)
	if event.Err != nil {
		if m.rowPoll.failures == storeDownFailures {
			m.log(LogEntry{Kind: LogStoreDown, Err: event.Err})
		}
		return m.requestFleet()
	}
	if failures >= storeDownFailures {
		m.log(LogEntry{Kind: LogStoreUp})
	}
	actions := m.handleHeader(now, event.Header)
	m.rowsLoaded = true
	m.revision = max(m.revision, event.Revision)
	for _, row := range event.Rows {
		m.applyRow(now, row)
	}
	for _, id := range m.databaseIDs {
		if d := m.databases[id]; d.rowUncertain {
			d.rowUncertain = m.rowPoll.next.IsZero()
			actions = append(actions, m.reconcile(now, d)...)
		}
	}
	return actions
}

// applyRow applies one row.
func (m *Machine) applyRow(now time.Time, row model.Ownership) {
	d := m.ensureDatabase(row.Database)
	owned := m.owns(d)
	dead := m.members.State(row.Owner, row.Incarnation) == view.Dead
	formerTerm := d.row.Term
	if d.applyRow(now, row) {
		m.activateSwitchover(d, formerTerm)
		d.ownerReturned = dead
		m.applyOwnerUpdate(OwnerUpdate{row.Database, row.Owner, row.Term, row.Primary})
		if formerTerm > 0 || m.owns(d) {
			m.gossipOwner(d) // the first read needs no gossip, since every host reads the same rows
		}
		m.dirty = true
		if owned && !m.owns(d) {
			d.losses++
			m.log(LogEntry{Kind: LogReplaced, Database: row.Database, Term: row.Term, Host: row.Owner})
		}
	}
}

// gossipOwner queues the owner of a database for gossip.
func (m *Machine) gossipOwner(d *database) {
	const sendsPerRound = 6
	m.ownerGossip.Add(d.id, d.ownerHint, sendsPerRound*m.members.GossipRounds())
}

// applyOwnerUpdate applies a hint about an owner. It affects only routing, and makes a superseded owner read the rows.
func (m *Machine) applyOwnerUpdate(update OwnerUpdate) {
	d := m.databases[update.Database]
	if d == nil || update.Term < d.ownerHint.Term || update == d.ownerHint {
		return
	}
	if update.Term == d.ownerHint.Term && (update.Primary == "" || d.ownerHint.Primary != "") {
		return
	}
	d.ownerHint = update
	m.dirty = true
	if update.Term > d.row.Term {
		m.gossipOwner(d)
		m.markSuperseded(d, update.Term)
	}
}

// markSuperseded stops serving a database of this host when a higher term is known, and requests a read of the rows.
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

// owns reports whether the row names this incarnation of this host as the owner.
func (m *Machine) owns(d *database) bool {
	return d.row.Version > 0 && d.row.Owner == m.Self.ID && d.row.Incarnation == m.Incarnation
}
