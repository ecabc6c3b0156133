package fleet

import (
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// firstCandidates is the number of first candidates that look at the instances of a database whose owner is in doubt.
const firstCandidates = 2

// probes reads the state of the instances that this host has to know.
func (m *Machine) probes(now time.Time, d *database) []Action {
	var actions []Action
	all := m.interested(d)
	for _, id := range d.listed() {
		member := d.instances[id]
		asked := !member.reported && now.Sub(member.asked) < questionFor
		if asked || all && !member.seenSince(now.Add(-m.Timing.Watch(m.members.Size()))) {
			actions = append(actions, m.call(now, d, member, CallState)...)
		}
	}
	return actions
}

// interested reports whether this host owns the database or may have to take it over.
func (m *Machine) interested(d *database) bool {
	if m.mine(d) {
		return true
	}
	state := m.members.State(d.row.Owner, d.row.Incarnation)
	if d.since.IsZero() && d.row.Version > 0 && state == view.Alive {
		return false
	}
	place := m.place(d)
	return place >= 0 && place < firstCandidates
}

// call makes one call of an instance in the term of the row, unless the same call is under way or was made just now.
func (m *Machine) call(now time.Time, d *database, member *instance, call Call) []Action {
	if !member.due(now, call) {
		return nil
	}
	action := InstanceAction{Call: call, Instance: member.Instance, Term: d.row.Term}
	if primary := d.primary(); (call == CallFollow || call == CallAdopt) && primary != nil {
		action.Primary = primary.Instance
	}
	if change := d.leadership.switching; call == CallAwait && change != nil {
		action.Point = change.point
	}
	return []Action{action}
}

// instanceResult takes the end of a call.
func (m *Machine) instanceResult(now time.Time, event InstanceResult) []Action {
	d := m.databases[event.Database]
	if d == nil || d.instances[event.Instance] == nil {
		return nil
	}
	member := d.instances[event.Instance]
	member.busy[event.Call] = false
	member.next[event.Call] = now.Add(m.pause(event))
	state, answered := answerOf(event)
	if answered {
		m.answered(now, d, member, state)
	} else {
		m.unanswered(now, d, member)
	}
	if event.Term == d.row.Term && m.mine(d) {
		m.caughtUp(d, event)
		m.advance(d, event)
	}
	return append(m.report(now, member), m.reconcile(now, d)...)
}

// pause returns the time before the same call is made again.
func (m *Machine) pause(event InstanceResult) time.Duration {
	if event.Call == CallState {
		return m.Timing.Watch(m.members.Size())
	}
	if event.Err != nil {
		return m.Timing.Retry
	}
	return 0
}

// answerOf returns the state that came back, also from a refusal, and whether the instance answered at all.
func answerOf(event InstanceResult) (model.InstanceState, bool) {
	if event.Err == nil {
		return event.State, true
	}
	var refusal *model.Refusal
	if !errors.As(event.Err, &refusal) || refusal.State == nil {
		return model.InstanceState{}, false
	}
	return *refusal.State, true
}

// answered takes a state and looks for a higher term in it.
func (m *Machine) answered(now time.Time, d *database, member *instance, state model.InstanceState) {
	reachable := member.answers()
	changed := member.state.Term != state.Term || member.state.Role != state.Role || member.state.Leaving != state.Leaving
	member.seen(now, state)
	m.replaced(d, state.Term)
	if changed || !reachable {
		m.dirty = true
	}
	d.fresh = true
}

// unanswered counts a missing answer, makes the next probe due at once and asks other hosts about a primary.
func (m *Machine) unanswered(now time.Time, d *database, member *instance) {
	if member.missed == 0 {
		m.dirty = true
	}
	member.unseen(now)
	if member.missed == missesOfSilence && m.mine(d) && member == d.primary() {
		m.note(Note{Kind: NotePrimarySilent, Database: d.id, Term: d.row.Term, Instance: member.ID})
	}
	if member.missed < missesOfSilence {
		member.next[CallState] = now
	}
	if m.interested(d) && (d.row.Primary == "" || member.ID == d.row.Primary) {
		m.ask(d, member)
	}
}

// ask asks other hosts whether they reach an instance.
func (m *Machine) ask(d *database, member *instance) {
	m.reach.Add(member.ID, InstanceNews{Instance: member.ID, Term: d.row.Term, Asked: true}, m.members.Size())
	m.members.HeartbeatNow()
}

// advance takes a success in the term of the row.
func (m *Machine) advance(d *database, event InstanceResult) {
	if event.Err != nil || event.State.Term != d.row.Term {
		return
	}
	switch event.Call {
	case CallFence:
		d.leadership.fenced[event.Instance] = event.State
	case CallPromote:
		if event.Instance == d.leadership.chosen && event.State.Role == model.RolePrimary {
			d.leadership.promoted = true
		}
	case CallFollow:
		d.leadership.following[event.Instance] = true
	}
}

// installed begins the service in a term.
func (m *Machine) installed(now time.Time, d *database) {
	d.leadership.serving = true
	d.planned = false
	d.nextPlan = now.Add(m.Timing.Replan)
	m.dirty = true
	m.note(Note{Kind: NoteServing, Database: d.id, Term: d.row.Term, Instance: d.leadership.chosen})
	if change := d.leadership.switching; change != nil && change.to != d.leadership.chosen {
		m.note(Note{Kind: NoteSwitchoverMissed, Database: d.id, Term: d.row.Term, Instance: d.leadership.chosen})
	}
}

// observed takes a state that traffic saw.
func (m *Machine) observed(now time.Time, state model.InstanceState) []Action {
	d := m.instances[state.Instance]
	if d == nil || d.instances[state.Instance] == nil {
		return nil
	}
	m.answered(now, d, d.instances[state.Instance], state)
	return nil
}

// failed takes traffic's failure for a reason to probe, never for a proof.
func (m *Machine) failed(now time.Time, event Failed) []Action {
	d := m.instances[event.Instance]
	if d == nil || d.instances[event.Instance] == nil {
		return nil
	}
	member := d.instances[event.Instance]
	member.next[CallState] = now
	if m.interested(d) {
		return m.call(now, d, member, CallState)
	}
	return nil
}

// report tells the asker whether this host reaches the instance that it asked about.
func (m *Machine) report(now time.Time, member *instance) []Action {
	if member.reported || now.Sub(member.asked) >= questionFor {
		return nil
	}
	member.reported = true
	news := InstanceNews{Instance: member.ID, Term: member.state.Term, Reachable: member.answers()}
	m.reach.Add(member.ID, news, m.members.Size())
	m.members.HeartbeatNow()
	return m.beats(now)
}
