package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// improve makes one planned change of a database that is served well: a leaving primary first, then the group.
func (m *Machine) improve(now time.Time, d *database, primary *instance) []Action {
	if now.Before(d.nextPlan) || d.commit || d.doubt || !primary.answers() {
		return nil
	}
	if primary.Leaving || primary.state.Leaving {
		return m.switchOver(now, d, primary)
	}
	return m.changeGroup(now, d)
}

// switchOver claims a new term in which the best replica becomes primary.
func (m *Machine) switchOver(now time.Time, d *database, primary *instance) []Action {
	next := m.successor(d, primary)
	if next == nil {
		return nil
	}
	actions := m.claim(now, d, "", "primary leaves")
	if len(actions) > 0 {
		d.plan = &handover{from: primary.ID, to: next.ID}
		d.planned = true
		m.note(Note{Kind: NoteSwitchover, Database: d.id, Term: d.row.Term, Instance: primary.ID, To: next.ID})
	}
	return actions
}

// successor returns the replica of the group that follows most closely and stays, or nil.
func (m *Machine) successor(d *database, primary *instance) *instance {
	var best *instance
	for _, member := range d.group() {
		if member == primary || !m.keepsUp(d, member) || m.leaves(d, member.state) {
			continue
		}
		if best == nil || m.better(d, member.state, best.state) {
			best = member
		}
	}
	return best
}

// keepsUp reports whether a replica follows in the row's term and lags little.
func (m *Machine) keepsUp(d *database, member *instance) bool {
	return d.follows(member) && member.answers() && time.Duration(member.state.Age) <= m.Timing.Lag
}

// plan puts a planned switchover in force once the row has its new term.
func (m *Machine) plan(d *database, former model.Term) {
	if d.row.Term == former {
		return
	}
	mine := m.mine(d)
	if mine && d.row.Primary == "" {
		d.leadership.switching = d.plan
	}
	d.plan = nil
	d.planned = d.planned && mine
}

// switched reports whether no switchover waits for its next primary.
func (d *database) switched() bool {
	return d.leadership.switching == nil || d.leadership.switching.ready
}

// catchUp waits, with the writes held back, until the next primary holds all that the former one has.
func (m *Machine) catchUp(now time.Time, d *database) []Action {
	change := d.leadership.switching
	from, to := d.instances[change.from], d.instances[change.to]
	if from == nil || to == nil || now.Sub(d.changed) >= m.Timing.Switch {
		change.ready = true
		return m.elect(now, d)
	}
	if !change.drawn {
		return m.call(now, d, from, CallDrain)
	}
	return m.call(now, d, to, CallAwait)
}

// caughtUp takes the end of a step of a switchover; a step that failed leaves the choice to the election.
func (m *Machine) caughtUp(d *database, event InstanceResult) {
	change := d.leadership.switching
	if change == nil || change.ready {
		return
	}
	switch {
	case event.Call == CallDrain && event.Err == nil:
		change.point = event.State.Point
		change.drawn = true
	case event.Call == CallDrain, event.Call == CallAwait:
		change.ready = true
	}
}

// changeGroup adds or removes one instance when the platform's list says so and the present group is in order.
func (m *Machine) changeGroup(now time.Time, d *database) []Action {
	if !m.listed || !d.settled() {
		return nil
	}
	for _, id := range d.listed() {
		member := d.instances[id]
		if !slices.Contains(d.row.Instances, id) && !member.gone && !member.Leaving && m.keepsUp(d, member) {
			group := slices.Sorted(slices.Values(append(slices.Clone(d.row.Instances), id)))
			return m.regroup(now, d, group, id, "joins")
		}
	}
	for _, id := range d.row.Instances {
		member := d.instances[id]
		if id != d.row.Primary && (member == nil || member.gone) {
			group := slices.DeleteFunc(slices.Clone(d.row.Instances), func(other model.InstanceID) bool { return other == id })
			return m.regroup(now, d, group, id, "leaves")
		}
	}
	return nil
}

// regroup claims a new term with another group and the same primary.
func (m *Machine) regroup(now time.Time, d *database, group []model.InstanceID, id model.InstanceID, change string) []Action {
	actions := m.claimWith(now, d, d.row.Primary, group, "an instance "+change)
	if len(actions) > 0 {
		d.planned = true
		m.note(Note{Kind: NoteGroup, Database: d.id, Term: d.row.Term, Instance: id, Reason: change})
	}
	return actions
}

// settled reports whether a majority of the group holds everything from before the row's term, so that the group may change by one.
func (d *database) settled() bool {
	count := 0
	for _, member := range d.group() {
		if member.answers() && Adopted(member.state, d.row.Term) {
			count++
		}
	}
	return count >= d.majority()
}
