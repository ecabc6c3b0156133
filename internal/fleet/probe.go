package fleet

import (
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// probingCandidates is the number of candidates that probe the instances of a database whose owner may have to be replaced.
const probingCandidates = 2

// probeInstances probes the instances that are due for a probe or that another host asked about.
func (m *Machine) probeInstances(now time.Time, d *database) []Action {
	var actions []Action
	probing := m.interested(d)
	for _, id := range d.instanceIDs() {
		target := d.instances[id]
		asked := !target.questionAnswered && now.Sub(target.questionAt) < questionTTL
		if asked || probing && !target.answeredSince(now.Add(-m.Timing.ProbeIntervalFor(m.members.Size()))) {
			actions = append(actions, m.callInstance(now, d, target, CallState)...)
		}
	}
	return actions
}

// interested reports whether this host owns the database or is one of the first candidates to take it over.
func (m *Machine) interested(d *database) bool {
	if m.owns(d) {
		return true
	}
	state := m.members.State(d.row.Owner, d.row.Incarnation)
	if d.needSince.IsZero() && d.row.Version > 0 && state == view.Alive {
		return false
	}
	index := m.candidateIndex(d)
	return index >= 0 && index < probingCandidates
}

// callInstance makes a call to an instance in the term of the row, unless the same call is running or was made recently.
func (m *Machine) callInstance(now time.Time, d *database, target *instance, call Call) []Action {
	if !target.startIfDue(now, call) {
		return nil
	}
	action := InstanceAction{Call: call, Instance: target.Instance, Term: d.row.Term}
	if primary := d.primary(); (call == CallFollow || call == CallAdopt) && primary != nil {
		action.Primary = primary.Instance
	}
	if change := d.leadership.switchover; call == CallAwait && change != nil {
		action.Point = change.point
	}
	return []Action{action}
}

// handleInstanceResult processes the result of a call.
func (m *Machine) handleInstanceResult(now time.Time, event InstanceResult) []Action {
	d := m.databases[event.Database]
	if d == nil || d.instances[event.Instance] == nil {
		return nil
	}
	target := d.instances[event.Instance]
	target.runningCalls[event.Call] = false
	target.nextCall[event.Call] = now.Add(m.callDelay(event))
	state, answered := stateOf(event)
	if answered {
		m.recordAnswer(now, d, target, state)
	} else {
		m.recordNoAnswer(now, d, target)
	}
	if event.Term == d.row.Term && m.owns(d) {
		m.handleSwitchoverStep(d, event)
		m.recordSuccess(d, event)
	}
	return append(m.answerQuestion(now, target), m.reconcile(now, d)...)
}

// callDelay returns the minimum time until the next call of the same kind.
func (m *Machine) callDelay(event InstanceResult) time.Duration {
	if event.Call == CallState {
		return m.Timing.ProbeIntervalFor(m.members.Size())
	}
	if event.Err != nil {
		return m.Timing.RetryDelay
	}
	return 0
}

// stateOf returns the state in an answer, which may be a refusal, and whether the instance answered at all.
func stateOf(event InstanceResult) (model.InstanceState, bool) {
	if event.Err == nil {
		return event.State, true
	}
	var refusal *model.Refusal
	if !errors.As(event.Err, &refusal) || refusal.State == nil {
		return model.InstanceState{}, false
	}
	return *refusal.State, true
}

// recordAnswer records a state and checks whether its term is higher than the row's.
func (m *Machine) recordAnswer(now time.Time, d *database, target *instance, state model.InstanceState) {
	reachable := target.answers()
	changed := target.state.Term != state.Term || target.state.Role != state.Role || target.state.Leaving != state.Leaving
	target.recordState(now, state)
	m.markSuperseded(d, state.Term)
	if changed || !reachable {
		m.dirty = true
	}
	d.dirty = true
}

// recordNoAnswer records an unanswered call. It makes the first repeated probe due at once and asks other hosts about a primary.
func (m *Machine) recordNoAnswer(now time.Time, d *database, target *instance) {
	if target.missedCalls == 0 {
		m.dirty = true
	}
	target.recordMiss(now)
	if target.missedCalls == minSilentMisses && m.owns(d) && target == d.primary() {
		m.log(LogEntry{Kind: LogPrimarySilent, Database: d.id, Term: d.row.Term, Instance: target.ID})
	}
	if target.missedCalls < minSilentMisses {
		target.nextCall[CallState] = now
	}
	if m.interested(d) && (d.row.Primary == "" || target.ID == d.row.Primary) {
		m.askPeers(d, target)
	}
}

// askPeers asks other hosts whether they reach an instance.
func (m *Machine) askPeers(d *database, target *instance) {
	m.instanceGossip.Add(target.ID, InstanceUpdate{Instance: target.ID, Term: d.row.Term, Asked: true}, m.members.Size())
	m.members.HeartbeatNow()
}

// recordSuccess records a successful call in the term of the row.
func (m *Machine) recordSuccess(d *database, event InstanceResult) {
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

// beginService starts serving the database in the term of the row.
func (m *Machine) beginService(now time.Time, d *database) {
	d.leadership.serving = true
	d.plannedChange = false
	d.nextPlannedChange = now.Add(m.Timing.PlannedChangeDelay)
	m.dirty = true
	m.log(LogEntry{Kind: LogServing, Database: d.id, Term: d.row.Term, Instance: d.leadership.chosen})
	if change := d.leadership.switchover; change != nil && change.to != d.leadership.chosen {
		m.log(LogEntry{Kind: LogSwitchoverMissed, Database: d.id, Term: d.row.Term, Instance: d.leadership.chosen})
	}
}

// handleStateObserved processes a state seen by traffic or a probe.
func (m *Machine) handleStateObserved(now time.Time, state model.InstanceState) []Action {
	d := m.databaseByInstance[state.Instance]
	if d == nil || d.instances[state.Instance] == nil {
		return nil
	}
	m.recordAnswer(now, d, d.instances[state.Instance], state)
	return nil
}

// handleInstanceFailed probes an instance that traffic could not reach. The failure itself is no proof that the instance is lost.
func (m *Machine) handleInstanceFailed(now time.Time, event InstanceFailed) []Action {
	d := m.databaseByInstance[event.Instance]
	if d == nil || d.instances[event.Instance] == nil {
		return nil
	}
	target := d.instances[event.Instance]
	target.nextCall[CallState] = now
	if m.interested(d) {
		return m.callInstance(now, d, target, CallState)
	}
	return nil
}

// answerQuestion tells the other hosts whether this host reaches an instance that one of them asked about.
func (m *Machine) answerQuestion(now time.Time, target *instance) []Action {
	if target.questionAnswered || now.Sub(target.questionAt) >= questionTTL {
		return nil
	}
	target.questionAnswered = true
	update := InstanceUpdate{Instance: target.ID, Term: target.state.Term, Reachable: target.answers()}
	m.instanceGossip.Add(target.ID, update, m.members.Size())
	m.members.HeartbeatNow()
	return m.sendHeartbeats(now)
}
