package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// takeoverReason is the reason why a database should get another owner.
type takeoverReason int

// The reasons, the weakest first.
const (
	reasonNone         takeoverReason = iota
	reasonBalance                     // this host is the preferred one
	reasonOwnerLeaving                // the owner leaves
	reasonOwnerCutOff                 // the owner does not reach the primary, others do
	reasonOwnerDead                   // the owner is dead
	reasonNewDatabase                 // there is no row yet
)

// reasonTexts are the reasons as the log tells them.
var reasonTexts = map[takeoverReason]string{
	reasonBalance:      "balance",
	reasonOwnerLeaving: "owner leaves",
	reasonOwnerCutOff:  "owner does not reach the primary",
	reasonOwnerDead:    "owner is dead",
	reasonNewDatabase:  "new database",
}

// String returns the reason as the log tells it.
func (n takeoverReason) String() string {
	return reasonTexts[n]
}

// questionTTL is the time for which a question about an instance counts.
const questionTTL = time.Second

// rebalanceInterval is the least time between two moves for balance by one host.
const rebalanceInterval = time.Second

// takeoverReason tells why the database should get another owner.
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

// ownerCutOff reports whether the owner asks about an instance that it needs and that this host reaches.
func (m *Machine) ownerCutOff(now time.Time, d *database) bool {
	for _, member := range d.group() {
		needed := d.row.Primary == "" || member.ID == d.row.Primary
		asked := member.asker == d.row.Owner && now.Sub(member.askedAt) < questionTTL
		if needed && asked && member.answers() && member.observedAt.After(member.askedAt.Add(-questionTTL)) {
			return true
		}
	}
	return false
}

// maxLossDoublings bounds the doubling of the time before a database comes back to a host that keeps losing it.
const maxLossDoublings = 6

// shouldRebalance reports whether the database has been quiet for long and this host is its preferred owner.
func (m *Machine) shouldRebalance(now time.Time, d *database) bool {
	quiet := m.Timing.RebalanceDelay << min(d.losses, maxLossDoublings)
	if now.Sub(d.rowChangedAt) < quiet || now.Sub(m.started) < m.Timing.RebalanceDelay ||
		m.members.State(d.row.Owner, d.row.Incarnation) != view.Alive {
		return false
	}
	return m.preferredOwner(d) == m.Self.ID
}

// preferredOwner returns the first of the candidates, without ordering the others.
func (m *Machine) preferredOwner(d *database) model.HostID {
	m.live.refresh(m.members)
	primary := d.rowPrimary()
	if d.preferredEpoch != m.live.epoch || d.preferredPrimary != primary.ID || d.preferred == "" {
		d.preferred = highestWeight(d.id, m.live.nearest(primary))
		d.preferredEpoch = m.live.epoch
		d.preferredPrimary = primary.ID
	}
	return d.preferred
}

// candidates returns the live hosts in the order in which they should own the database.
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

// candidateIndex returns this host's place among the candidates without the present owner, or -1.
func (m *Machine) candidateIndex(d *database) int {
	place := 0
	for _, host := range m.candidates(d) {
		if host == m.Self.ID {
			return place
		}
		if host != d.row.Owner {
			place++
		}
	}
	return -1
}

// considerTakeover takes the database over when it needs another owner and it is this host's turn.
func (m *Machine) considerTakeover(now time.Time, d *database) []Action {
	why := m.takeoverReason(now, d)
	if why == reasonNone {
		d.needSince = time.Time{}
		return nil
	}
	if d.needSince.IsZero() {
		d.needSince = now
	}
	place := m.candidateIndex(d)
	if place < 0 || now.Before(d.needSince.Add(time.Duration(place)*m.Timing.TakeoverStagger)) {
		return nil
	}
	if d.ownerReturned && why == reasonOwnerDead && now.Sub(d.rowChangedAt) < m.Timing.DisputedTakeoverDelay {
		return nil
	}
	return m.takeOver(now, d, why)
}

// takeOver claims the database when it is known what to do with its primary.
func (m *Machine) takeOver(now time.Time, d *database, why takeoverReason) []Action {
	if why == reasonNewDatabase {
		return m.claimNew(now, d)
	}
	primary := d.instances[d.row.Primary]
	switch {
	case why == reasonBalance && now.Before(m.nextRebalance):
		return nil
	case d.row.Primary == "" && d.answeringCount() >= d.majority():
		return m.claim(now, d, "", why.String())
	case primary == nil:
		return nil
	case primary.answers():
		m.nextRebalance = now.Add(rebalanceInterval)
		return m.claim(now, d, primary.ID, why.String())
	case why == reasonOwnerDead && m.primaryLost(now, d, primary):
		return m.claim(now, d, "", why.String()+", primary is lost")
	}
	return nil
}

// claimNew claims a database that has no row: its first primary is the instance that says so.
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

// claim makes this host the owner in a new term; without a primary a majority has to be fenced and the best one promoted.
func (m *Machine) claim(now time.Time, d *database, primary model.InstanceID, reason string) []Action {
	return m.claimWithGroup(now, d, primary, m.groupOf(d), reason)
}

// claimWithGroup claims the database with the group.
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

// groupOf returns the row's group, or all listed instances of a database without a row.
func (m *Machine) groupOf(d *database) []model.InstanceID {
	if d.row.Version > 0 {
		return d.row.Instances
	}
	return d.instanceIDs()
}

// newestTimeline returns the newest timeline that is known of the primary's log.
func (m *Machine) newestTimeline(d *database) model.Timeline {
	if primary := d.primary(); primary != nil && len(primary.state.Timeline) > 0 {
		return recentTerms(primary.state.Timeline)
	}
	return recentTerms(d.row.Timeline)
}

// commitRow sends one change of the row, unless one is under way or the last one's fate is open.
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

// handleRowCommitted takes the end of a change: a lost answer is settled by reading the row.
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
