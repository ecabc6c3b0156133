package fleet

import (
	"slices"

	"redwingspread/internal/model"
)

// entry is one write in the log of a fake instance.
type entry struct {
	term  model.Term
	value int
}

// fakeInstance is an instance in memory that follows the rules of the endpoint interface.
type fakeInstance struct {
	simulation   *simulation
	instance     model.Instance
	term         model.Term
	role         model.Role
	log          []entry
	timeline     model.Timeline
	upstream     model.InstanceID // instance that a replica copies from
	leaving      bool
	down         bool
	listed       bool // in the platform's list
	ignoresFence bool // fences have no effect, to test that the checker notices
}

// newResult returns the result of an action without a state.
func (sim *simulation) newResult(action InstanceAction) InstanceResult {
	return InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: action.Instance.ID,
		Term:     action.Term,
	}
}

// handleCall applies one call and returns its result.
func (f *fakeInstance) handleCall(sim *simulation, action InstanceAction) Event {
	result := sim.newResult(action)
	if f.down {
		result.Err = errLost
		return result
	}
	refusal := f.apply(action)
	if refusal == nil && sim.onCall != nil {
		sim.onCall(f, action)
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

// apply changes the instance as the call asks.
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

// fence raises the term and stops a primary of a lower term.
func (f *fakeInstance) fence(term model.Term) {
	if term <= f.term {
		return
	}
	f.term = term
	if f.role == model.RolePrimary {
		f.role = model.RoleFenced
	}
}

// promote makes the instance primary in the term.
func (f *fakeInstance) promote(term model.Term) {
	if f.role == model.RolePrimary && f.term == term {
		return
	}
	f.term = max(f.term, term)
	f.role = model.RolePrimary
	f.upstream = ""
	f.timeline = append(f.timeline[:len(f.timeline):len(f.timeline)], model.Point{Term: term, Position: f.point().Position})
}

// follow makes the instance a replica of the upstream.
func (f *fakeInstance) follow(term model.Term, upstream model.InstanceID) {
	if !f.ignoresFence {
		f.fence(term)
	}
	f.role = model.RoleReplica
	f.upstream = upstream
}

// replicate copies up to the given number of entries from the upstream, after truncating entries that the upstream lacks.
func (f *fakeInstance) replicate(entries int) {
	upstream := f.simulation.instances[f.upstream]
	if f.down || upstream == nil || upstream.down || upstream.role != model.RolePrimary || upstream.term < f.term {
		return
	}
	if upstream.term > f.term || !slices.Equal(f.timeline, upstream.timeline) {
		f.term = upstream.term
		f.timeline = upstream.timeline
		if f.simulation.interruptsCopy != nil && f.simulation.interruptsCopy() {
			return
		}
	}
	common := 0
	for common < len(f.log) && common < len(upstream.log) && f.log[common] == upstream.log[common] {
		common++
	}
	f.log = f.log[:common:common]
	f.log = append(f.log, upstream.log[common:min(len(upstream.log), common+entries)]...)
}

// write appends a write to the log if the instance is primary in the term, and returns its point.
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

// holds reports whether the log contains the value.
func (f *fakeInstance) holds(value int) bool {
	for _, item := range f.log {
		if item.value == value {
			return true
		}
	}
	return false
}

// state returns the state that the instance reports.
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
