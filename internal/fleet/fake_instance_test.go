package fleet

import (
	"slices"

	"redwingspread/internal/model"
)

// entry is one write in a fake log.
type entry struct {
	term  model.Term
	value int
}

// fakeInstance follows the rules of the endpoint interface.
type fakeInstance struct {
	simulation   *simulation
	instance     model.Instance
	term         model.Term
	role         model.Role
	log          []entry
	timeline     model.Timeline
	upstream     model.InstanceID
	leaving      bool
	down         bool
	listed       bool
	ignoresFence bool // a fence has no effect: a rule taken out
}

// newResult returns the frame of an action's result.
func (w *simulation) newResult(action InstanceAction) InstanceResult {
	return InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: action.Instance.ID,
		Term:     action.Term,
	}
}

// handleCall runs one call.
func (f *fakeInstance) handleCall(w *simulation, action InstanceAction) Event {
	result := w.newResult(action)
	if f.down {
		result.Err = errLost
		return result
	}
	refusal := f.apply(action)
	if refusal == nil && w.onCall != nil {
		w.onCall(f, action)
	}
	result.State = f.state()
	if f.ignoresFence && action.Call == CallFence {
		result.State.Term = max(f.term, action.Term)
	}
	if refusal != nil {
		state := f.state()
		refusal.State = &state
		result.Err = refusal
	}
	return result
}

// apply changes the instance as a call asks.
func (f *fakeInstance) apply(action InstanceAction) *model.Refusal {
	switch action.Call {
	case CallState, CallAwait, CallDrain, CallAdopt:
		return nil
	}
	if action.Term < f.term || action.Call == CallPromote && action.Term != f.term && !f.ignoresFence {
		return model.Refuse(model.CodeWrongTerm, "term %d", f.term)
	}
	switch action.Call {
	case CallFence:
		if !f.ignoresFence {
			f.fence(action.Term)
		}
	case CallPromote:
		f.promote(action.Term)
	case CallFollow:
		f.follow(action.Term, action.Primary.ID)
	}
	return nil
}

// fence raises the term.
func (f *fakeInstance) fence(term model.Term) {
	if term <= f.term {
		return
	}
	f.term = term
	if f.role == model.RolePrimary {
		f.role = model.RoleFenced
	}
}

// promote makes the instance primary of the term.
func (f *fakeInstance) promote(term model.Term) {
	if f.role == model.RolePrimary && f.term == term {
		return
	}
	f.term = max(f.term, term)
	f.role = model.RolePrimary
	f.upstream = ""
	f.timeline = append(f.timeline[:len(f.timeline):len(f.timeline)], model.Point{Term: term, Position: f.point().Position})
}

// follow makes the instance a replica.
func (f *fakeInstance) follow(term model.Term, leader model.InstanceID) {
	if !f.ignoresFence {
		f.fence(term)
	}
	f.role = model.RoleReplica
	f.upstream = leader
}

// replicate takes the next entries of the leader, and cuts back what the leader does not have.
func (f *fakeInstance) replicate(entries int) {
	leader := f.simulation.instances[f.upstream]
	if f.down || leader == nil || leader.down || leader.role != model.RolePrimary || leader.term < f.term {
		return
	}
	if leader.term > f.term || !slices.Equal(f.timeline, leader.timeline) {
		f.term = leader.term
		f.timeline = leader.timeline
		if f.simulation.interruptsCopy != nil && f.simulation.interruptsCopy() {
			return
		}
	}
	common := 0
	for common < len(f.log) && common < len(leader.log) && f.log[common] == leader.log[common] {
		common++
	}
	f.log = f.log[:common:common]
	f.log = append(f.log, leader.log[common:min(len(leader.log), common+entries)]...)
}

// write runs a write in a term and returns its point.
func (f *fakeInstance) write(term model.Term, value int) (model.Point, bool) {
	if f.down || f.role != model.RolePrimary || term != f.term {
		return model.Point{}, false
	}
	f.log = append(f.log, entry{term: f.term, value: value})
	return f.point(), true
}

// point returns the last entry's term and the log's length.
func (f *fakeInstance) point() model.Point {
	if len(f.log) == 0 {
		return model.Point{}
	}
	return model.Point{Term: f.log[len(f.log)-1].term, Position: model.Position(len(f.log))}
}

// holds reports whether the log has the value.
func (f *fakeInstance) holds(value int) bool {
	for _, item := range f.log {
		if item.value == value {
			return true
		}
	}
	return false
}

// state returns what the instance says of itself.
func (f *fakeInstance) state() model.InstanceState {
	return model.InstanceState{
		Instance: f.instance.ID,
		Database: f.instance.Database,
		Role:     f.role,
		Term:     f.term,
		Point:    f.point(),
		Timeline: f.timeline,
		Leaving:  f.leaving,
	}
}
