package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// makePlannedChange makes one planned change of a database in service. Replacing a leaving primary comes before group changes.
func (m *Machine) makePlannedChange(now time.Time, d *database, primary *instance) []Action {
	if now.Before(d.nextPlannedChange) || d.commitRunning || d.rowUncertain || !primary.answers() {
		return nil
	}
	if primary.Leaving || primary.state.Leaving {
		return m.beginSwitchover(now, d, primary)
	}
	return m.changeGroup(now, d)
}

// beginSwitchover claims a new term in which the best replica becomes primary.
func (m *Machine) beginSwitchover(now time.Time, d *database, primary *instance) []Action {
	next := m.successor(d, primary)
	if next == nil {
		return nil
	}
	actions := m.claim(now, d, "", "primary leaves")
	if len(actions) > 0 {
		d.pendingSwitchover = &switchover{from: primary.ID, to: next.ID}
		d.plannedChange = true
		m.log(LogEntry{Kind: LogSwitchover, Database: d.id, Term: d.row.Term, Instance: primary.ID, To: next.ID})
	}
	return actions
}

// successor returns the replica in the group with the most advanced log that keeps up and is not leaving, or nil.
func (m *Machine) successor(d *database, primary *instance) *instance {
	var best *instance
	for _, member := range d.group() {
		if member == primary || !m.keepsUp(d, member) || m.isLeaving(d, member.state) {
			continue
		}
		if best == nil || m.betterPrimary(d, member.state, best.state) {
			best = member
		}
	}
	return best
}

// keepsUp reports whether a replica follows the primary in the row's term and its lag is small.
func (m *Machine) keepsUp(d *database, member *instance) bool {
	return d.follows(member) && member.answers() && time.Duration(member.state.Age) <= m.Timing.MaxLag
}

// activateSwitchover starts the pending switchover once the row has its new term.
func (m *Machine) activateSwitchover(d *database, formerTerm model.Term) {
	if d.row.Term == formerTerm {
		return
	}
	owned := m.owns(d)
	if owned && d.row.Primary == "" {
		d.leadership.switchover = d.pendingSwitchover
	}
	d.pendingSwitchover = nil
	d.plannedChange = d.plannedChange && owned
}

// switchoverReady reports whether there is no switchover, or its next primary may be elected.
func (d *database) switchoverReady() bool {
	return d.leadership.switchover == nil || d.leadership.switchover.ready
}

// catchUp waits, while writes are held back, until the next primary holds the whole log of the former one.
func (m *Machine) catchUp(now time.Time, d *database) []Action {
	change := d.leadership.switchover
	from, to := d.instances[change.from], d.instances[change.to]
	if from == nil || to == nil || now.Sub(d.rowChangedAt) >= m.Timing.SwitchoverTimeout {
		change.ready = true
		return m.elect(now, d)
	}
	if !change.pointKnown {
		return m.callInstance(now, d, from, CallDrain)
	}
	return m.callInstance(now, d, to, CallAwait)
}

// handleSwitchoverStep processes the result of a step of a switchover. If a step fails, the election decides without it.
func (m *Machine) handleSwitchoverStep(d *database, event InstanceResult) {
	change := d.leadership.switchover
	if change == nil || change.ready {
		return
	}
	switch {
	case event.Call == CallDrain && event.Err == nil:
		change.point = event.State.Point
		change.pointKnown = true
	case event.Call == CallDrain, event.Call == CallAwait:
		change.ready = true
	}
}

// changeGroup adds or removes one instance as the platform's list requires, if a majority of the current group holds the start
// of the term.
func (m *Machine) changeGroup(now time.Time, d *database) []Action {
	if !m.listLoaded || !d.majorityAdopted() {
		return nil
	}
	for _, id := range d.instanceIDs() {
		member := d.instances[id]
		if !slices.Contains(d.row.Instances, id) && !member.unlisted && !member.Leaving && m.keepsUp(d, member) {
			group := slices.Sorted(slices.Values(append(slices.Clone(d.row.Instances), id)))
			return m.claimGroupChange(now, d, group, id, "joins")
		}
	}
	for _, id := range d.row.Instances {
		member := d.instances[id]
		if id != d.row.Primary && (member == nil || member.unlisted) {
			group := slices.DeleteFunc(slices.Clone(d.row.Instances), func(other model.InstanceID) bool { return other == id })
			return m.claimGroupChange(now, d, group, id, "leaves")
		}
	}
	return nil
}

// claimGroupChange claims a new term with a changed group and the same primary.
func (m *Machine) claimGroupChange(now time.Time, d *database, group []model.InstanceID, id model.InstanceID, change string) []Action {
	actions := m.claimWithGroup(now, d, d.row.Primary, group, "an instance "+change)
	if len(actions) > 0 {
		d.plannedChange = true
		m.log(LogEntry{Kind: LogGroupChange, Database: d.id, Term: d.row.Term, Instance: id, Reason: change})
	}
	return actions
}

// majorityAdopted reports whether a majority of the group holds everything from before the row's term. Only then is it safe to
// change the group by one instance.
func (d *database) majorityAdopted() bool {
	count := 0
	for _, member := range d.group() {
		if member.answers() && Adopted(member.state, d.row.Term) {
			count++
		}
	}
	return count >= d.majority()
}
