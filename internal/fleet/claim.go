package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// takeoverReason is the reason why a database needs another owner.
type takeoverReason int

// Reasons, weakest first.
const (
	reasonNone         takeoverReason = iota
	reasonBalance                     // this host is the preferred owner
	reasonOwnerLeaving                // the owner leaves the fleet
	reasonOwnerCutOff                 // the owner does not reach an instance that it needs, but this host does
	reasonOwnerDead                   // the owner is dead
	reasonNewDatabase                 // the database has no row yet
)

// reasonTexts maps reasons to their texts in the log.
var reasonTexts = map[takeoverReason]string{
	reasonBalance:      "balance",
	reasonOwnerLeaving: "owner leaves",
	reasonOwnerCutOff:  "owner does not reach the primary",
	reasonOwnerDead:    "owner is dead",
	reasonNewDatabase:  "new database",
}

// String returns the text of the reason in the log.
func (r takeoverReason) String() string {
	return reasonTexts[r]
}

// questionTTL is the time for which a peer's question about an instance is valid.
const questionTTL = time.Second

// rebalanceInterval is the minimum time from the last takeover with a live primary to a takeover for balance, on one host.
const rebalanceInterval = time.Second

// takeoverReason returns the reason why the database needs another owner.
func (m *Machine) takeoverReason(now time.Time, d *database) takeoverReason {
	switch {
	case d.row.Version == 0:
		return reasonNewDatabase
	case m.members.State(d.row.Owner, d.row.Incarnation) == view.Dead:
		return reasonOwnerDead
	case m.members.State(d.row.Owner, d.row.Incarnation) == view.Leaving:
		return reasonOwnerLeaving
	case m.ownerCutOff(now, d):
		return reasonOwnerCutOff
	case m.shouldRebalance(now, d):
		return reasonBalance
	}
	return reasonNone
}

// ownerCutOff reports whether the owner recently asked about an instance that it needs, and this host reaches that instance.
func (m *Machine) ownerCutOff(now time.Time, d *database) bool {
	for _, member := range d.group() {
		needed := d.row.Primary == "" || member.ID == d.row.Primary
		asked := member.questionFrom == d.row.Owner && now.Sub(member.questionAt) < questionTTL
		if needed && asked && member.answers() && member.observedAt.After(member.questionAt.Add(-questionTTL)) {
			return true
		}
	}
	return false
}

// maxLossDoublings is the maximum number of times that the rebalance delay doubles for a host that keeps losing a database.
const maxLossDoublings = 6

// shouldRebalance reports whether ownership has been stable for long enough and this host is the preferred owner.
func (m *Machine) shouldRebalance(now time.Time, d *database) bool {
	delay := m.Timing.RebalanceDelay << min(d.losses, maxLossDoublings)
	if now.Sub(d.rowChangedAt) < delay || now.Sub(m.started) < m.Timing.RebalanceDelay ||
		m.members.State(d.row.Owner, d.row.Incarnation) != view.Alive {
		return false
	}
	return m.preferredOwner(d) == m.Self.ID
}

// preferredOwner returns the first candidate without sorting the others.
func (m *Machine) preferredOwner(d *database) model.HostID {
	m.live.refresh(m.members)
	primary := d.rowPrimary()
	if d.preferredEpoch != m.live.epoch || d.preferredPrimary != primary.ID || d.preferred == "" {
		d.preferred = highestScore(d.id, m.live.nearest(primary))
		d.preferredEpoch = m.live.epoch
		d.preferredPrimary = primary.ID
	}
	return d.preferred
}

// candidates returns the live hosts, most preferred owner first.
func (m *Machine) candidates(d *database) []model.HostID {
	m.live.refresh(m.members)
	primary := d.rowPrimary()
	if d.candidatesEpoch != m.live.epoch || d.candidatesPrimary != primary.ID || d.candidates == nil {
		d.candidates = rankCandidates(d.id, primary, m.live.all)
		d.candidatesEpoch = m.live.epoch
		d.candidatesPrimary = primary.ID
	}
	return d.candidates
}

// candidateIndex returns this host's index among the candidates without the current owner, or -1.
func (m *Machine) candidateIndex(d *database) int {
	index := 0
	for _, host := range m.candidates(d) {
		if host == m.Self.ID {
			return index
		}
		if host != d.row.Owner {
			index++
		}
	}
	return -1
}

// considerTakeover takes the database over when it needs another owner and the stagger delay of this host has passed.
func (m *Machine) considerTakeover(now time.Time, d *database) []Action {
	reason := m.takeoverReason(now, d)
	if reason == reasonNone {
		d.needSince = time.Time{}
		return nil
	}
	if d.needSince.IsZero() {
		d.needSince = now
	}
	index := m.candidateIndex(d)
	if index < 0 || now.Before(d.needSince.Add(time.Duration(index)*m.Timing.TakeoverStagger)) {
		return nil
	}
	if d.ownerReturned && reason == reasonOwnerDead && now.Sub(d.rowChangedAt) < m.Timing.DisputedTakeoverDelay {
		return nil
	}
	return m.takeOver(now, d, reason)
}

// takeOver claims the database if its primary answers, or can be replaced by an election.
func (m *Machine) takeOver(now time.Time, d *database, reason takeoverReason) []Action {
	if reason == reasonNewDatabase {
		return m.claimNew(now, d)
	}
	primary := d.instances[d.row.Primary]
	switch {
	case reason == reasonBalance && now.Before(m.nextRebalance):
		return nil
	case d.row.Primary == "" && d.answeringCount() >= d.majority():
		return m.claim(now, d, "", reason.String())
	case primary == nil:
		return nil
	case primary.answers():
		m.nextRebalance = now.Add(rebalanceInterval)
		return m.claim(now, d, primary.ID, reason.String())
	case reason == reasonOwnerDead && m.primaryLost(now, d, primary):
		return m.claim(now, d, "", reason.String()+", primary is lost")
	}
	return nil
}

// claimNew claims a database without a row. Its first primary is an instance that has the primary role.
func (m *Machine) claimNew(now time.Time, d *database) []Action {
	if !m.listLoaded || !m.rowsLoaded || len(d.instances) == 0 {
		return nil
	}
	var first *instance
	for _, id := range d.instanceIDs() {
		item := d.instances[id]
		if !item.answers() || item.state.Role != model.RolePrimary {
			continue
		}
		if first == nil || electionPoint(item.state).Compare(electionPoint(first.state)) > 0 {
			first = item
		}
	}
	if first == nil {
		return nil
	}
	return m.claim(now, d, first.ID, reasonNewDatabase.String())
}

// claim makes this host the owner in a new term. Without a primary, the new owner has to fence a majority and elect one.
func (m *Machine) claim(now time.Time, d *database, primary model.InstanceID, reason string) []Action {
	return m.claimWithGroup(now, d, primary, m.groupOf(d), reason)
}

// claimWithGroup claims the database and sets its group.
func (m *Machine) claimWithGroup(now time.Time, d *database, primary model.InstanceID, group []model.InstanceID, reason string) []Action {
	row := model.Ownership{
		Database:    d.id,
		Owner:       m.Self.ID,
		Incarnation: m.Incarnation,
		Term:        d.highestTerm() + 1,
		Primary:     primary,
		Instances:   group,
		Timeline:    m.newestTimeline(d),
	}
	actions := m.commitRow(now, d, row)
	if len(actions) > 0 {
		d.pendingSwitchover = nil
		d.plannedChange = false
		m.log(LogEntry{Kind: LogClaimed, Database: d.id, Term: row.Term, Instance: primary, Reason: reason})
	}
	return actions
}

// groupOf returns the group in the row, or all known instances if the database has no row.
func (m *Machine) groupOf(d *database) []model.InstanceID {
	if d.row.Version > 0 {
		return d.row.Instances
	}
	return d.instanceIDs()
}

// newestTimeline returns the newest known timeline of the primary's log.
func (m *Machine) newestTimeline(d *database) model.Timeline {
	if primary := d.primary(); primary != nil && len(primary.state.Timeline) > 0 {
		return recentTerms(primary.state.Timeline)
	}
	return recentTerms(d.row.Timeline)
}

// commitRow requests one write of the row, unless another is running or the result of the last one is unknown.
func (m *Machine) commitRow(now time.Time, d *database, row model.Ownership) []Action {
	if d.commitRunning || d.rowUncertain || now.Before(d.nextCommit) {
		return nil
	}
	row.Nonce = m.NewNonce()
	row.Version = d.row.Version
	d.commitRunning = true
	d.commitSentAt = now
	return []Action{CommitRow{Row: row, Timeout: m.commits.timeout}}
}

// handleRowCommitted processes the result of a write. After a lost answer, the next read of the rows shows whether it was done.
func (m *Machine) handleRowCommitted(now time.Time, event RowCommitted) []Action {
	d := m.databases[event.Database]
	if d == nil {
		return nil
	}
	d.commitRunning = false
	d.nextCommit = now.Add(m.Timing.RetryDelay)
	m.commits.adaptTimeout(now.Sub(d.commitSentAt), event.Err)
	if event.Err != nil {
		d.rowUncertain = true
		m.rowPoll.requestNow()
		return nil
	}
	if event.Committed {
		d.nextCommit = time.Time{}
	} else {
		d.pendingSwitchover = nil
	}
	if event.Row.Version > 0 {
		m.applyRow(now, event.Row)
	}
	return m.reconcile(now, d)
}
