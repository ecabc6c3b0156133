package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// reconcile does what the database currently needs from this host.
func (m *Machine) reconcile(now time.Time, d *database) []Action {
	if !m.rowsLoaded {
		return nil
	}
	actions := m.probeInstances(now, d)
	if !m.owns(d) {
		return append(actions, m.considerTakeover(now, d)...)
	}
	return append(actions, m.serve(now, d)...)
}

// isIdle reports whether the database needs nothing from this host, so that a tick may skip it.
func (m *Machine) isIdle(now time.Time, d *database) bool {
	if m.owns(d) || d.row.Version == 0 || !d.needSince.IsZero() {
		return false
	}
	if now.Sub(d.questionAt) < questionTTL {
		return false
	}
	owner := m.members.State(d.row.Owner, d.row.Incarnation)
	return owner == view.Alive && m.preferredOwner(d) != m.Self.ID
}

// serve does the owner's work in the term of the row.
func (m *Machine) serve(now time.Time, d *database) []Action {
	switch {
	case d.leadership.superseded && d.rowUncertain:
		return nil
	case d.leadership.superseded:
		return m.claim(now, d, "", "an instance has a higher term")
	case d.leadership.chosen == "" && d.row.Primary != "":
		d.leadership.chosen = d.row.Primary
	case d.leadership.chosen == "" && !d.switchoverReady():
		return m.catchUp(now, d)
	case d.leadership.chosen == "":
		return m.elect(now, d)
	}
	primary := d.primary()
	switch {
	case primary == nil:
		return nil
	case m.primaryLost(now, d, primary):
		return m.claim(now, d, "", "primary is lost")
	case !d.leadership.serving:
		return m.installPrimary(now, d, primary)
	}
	return m.maintain(now, d, primary)
}

// maintain keeps a served database in order: its row, its replicas, its group and a primary that does not leave.
func (m *Machine) maintain(now time.Time, d *database, primary *instance) []Action {
	if now.Sub(d.rowChangedAt) >= m.Timing.RebalanceDelay<<maxLossDoublings {
		d.losses = 0
	}
	actions := m.followPrimary(now, d, primary)
	if d.row.Primary == "" {
		return append(actions, m.recordPrimary(now, d)...)
	}
	return append(actions, m.makePlannedChange(now, d, primary)...)
}

// elect fences the group and chooses the instance with the best log of a fenced majority.
func (m *Machine) elect(now time.Time, d *database) []Action {
	var actions []Action
	for _, member := range d.group() {
		if _, fenced := d.leadership.fenced[member.ID]; !fenced {
			actions = append(actions, m.callInstance(now, d, member, CallFence)...)
		}
	}
	if len(d.leadership.fenced) < d.majority() {
		return actions
	}
	if d.leadership.majorityAt.IsZero() {
		d.leadership.majorityAt = now
	}
	best := m.bestFenced(d)
	if m.betterPending(d, best) && now.Sub(d.leadership.majorityAt) < m.Timing.ElectionWait {
		return actions
	}
	d.leadership.chosen = best
	return append(actions, m.serve(now, d)...)
}

// bestFenced returns the fenced instance that would make the best primary.
func (m *Machine) bestFenced(d *database) model.InstanceID {
	var best model.InstanceID
	for _, id := range d.row.Instances {
		state, fenced := d.leadership.fenced[id]
		if fenced && (best == "" || m.betterPrimary(d, state, d.leadership.fenced[best])) {
			best = id
		}
	}
	return best
}

// betterPrimary reports whether the instance with the first state would make the better primary: the one with the higher point,
// then one that is not leaving, then one in this host's data centre.
func (m *Machine) betterPrimary(d *database, a, b model.InstanceState) bool {
	if order := electionPoint(a).Compare(electionPoint(b)); order != 0 {
		return order > 0
	}
	if m.isLeaving(d, a) != m.isLeaving(d, b) {
		return m.isLeaving(d, b)
	}
	return m.isNear(d, a) && !m.isNear(d, b)
}

// isLeaving reports whether an instance is leaving.
func (m *Machine) isLeaving(d *database, state model.InstanceState) bool {
	known := d.instances[state.Instance]
	return state.Leaving || known != nil && known.Leaving
}

// isNear reports whether an instance is in this host's data centre.
func (m *Machine) isNear(d *database, state model.InstanceState) bool {
	known := d.instances[state.Instance]
	return known != nil && known.DataCentre == m.Self.DataCentre
}

// betterPending reports whether an instance that is not fenced yet would be preferred to the best fenced one.
func (m *Machine) betterPending(d *database, best model.InstanceID) bool {
	for _, member := range d.group() {
		_, fenced := d.leadership.fenced[member.ID]
		if !fenced && d.leadership.switchover != nil && member.ID == d.leadership.switchover.to {
			return true
		}
		if !fenced && member.answers() && electionPoint(member.state).Compare(electionPoint(d.leadership.fenced[best])) > 0 {
			return true
		}
	}
	return false
}

// installPrimary fences and promotes the chosen instance. After an election, a majority has to hold the start of the term before
// service begins; a primary named in the row holds every write ever served.
func (m *Machine) installPrimary(now time.Time, d *database, primary *instance) []Action {
	if _, fenced := d.leadership.fenced[primary.ID]; !fenced {
		return m.callInstance(now, d, primary, CallFence)
	}
	if !d.leadership.promoted {
		return m.callInstance(now, d, primary, CallPromote)
	}
	if d.row.Primary == primary.ID {
		m.beginService(now, d)
		return m.maintain(now, d, primary)
	}
	return m.awaitMajority(now, d, primary)
}

// awaitMajority waits after an election until a majority holds the start of the term. From then on no election can bring back
// entries that the promoted log lacks, so their absence is final.
func (m *Machine) awaitMajority(now time.Time, d *database, primary *instance) []Action {
	count := 0
	for _, member := range d.group() {
		if Adopted(member.state, d.row.Term) {
			count++
		}
	}
	if count >= d.majority() {
		m.beginService(now, d)
		return m.maintain(now, d, primary)
	}
	actions := m.followPrimary(now, d, primary)
	for _, member := range d.group() {
		if member != primary && d.leadership.following[member.ID] && !Adopted(member.state, d.row.Term) {
			actions = append(actions, m.callInstance(now, d, member, CallAdopt)...)
		}
	}
	return actions
}

// follows reports whether the instance was told to follow the primary of the row's term and still does.
func (d *database) follows(member *instance) bool {
	return d.leadership.following[member.ID] && member.state.Term == d.row.Term && member.state.Role == model.RoleReplica
}

// followPrimary makes every other instance a replica of the primary in the term of the row.
func (m *Machine) followPrimary(now time.Time, d *database, primary *instance) []Action {
	var actions []Action
	for _, id := range d.instanceIDs() {
		member := d.instances[id]
		if member.ID == primary.ID || d.follows(member) {
			continue
		}
		actions = append(actions, m.callInstance(now, d, member, CallFollow)...)
	}
	return actions
}

// recordPrimary writes the promoted primary to the row, so that the next owner can keep it.
func (m *Machine) recordPrimary(now time.Time, d *database) []Action {
	row := d.row
	row.Primary = d.leadership.chosen
	row.Timeline = m.newestTimeline(d)
	return m.commitRow(now, d, row)
}

// primaryLost reports whether the primary is silent while a majority of the group answers. Another host has to confirm the
// silence; a host that is alone waits twice as long instead.
func (m *Machine) primaryLost(now time.Time, d *database, primary *instance) bool {
	if !primary.silent(now, m.Timing.SilenceTimeout) || d.answeringCount() < d.majority() {
		return false
	}
	if m.members.Alone() {
		return primary.silent(now, 2*m.Timing.SilenceTimeout)
	}
	return primary.silenceConfirmed()
}
