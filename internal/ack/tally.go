package ack

import "redwingspread/internal/model"

// Tally gathers, for one write, what was read after the primary had committed it.
type Tally struct {
	// Term is the owner's term.
	Term model.Term
	// Point is the write's place in the log.
	Point model.Point
	// GroupSize is the number of instances whose majority a promotion must fence.
	GroupSize int

	holders    map[model.InstanceID]bool
	inTerm     map[model.InstanceID]bool
	rowInTerm  bool
	superseded bool
}

// AddReplica takes the state of another instance of the group, read after the commit.
func (t *Tally) AddReplica(state model.InstanceState) {
	if state.Term > t.Term {
		t.superseded = true
		return
	}
	t.add(&t.inTerm, state.Instance)
	if t.holds(state) {
		t.add(&t.holders, state.Instance)
	}
}

// AddRow takes the database's row, read after the commit.
func (t *Tally) AddRow(row model.Ownership) {
	if row.Term > t.Term {
		return
	}
	t.rowInTerm = true
}

// Durability returns the durability that is proved, and false when nothing may be acknowledged yet.
//
// The primary took the write in the owner's term. Holders with it are a majority, which shares an instance with every
// majority that a promotion fences. Witnesses with it are a majority that no fence had reached when the write was made.
func (t *Tally) Durability() (model.Durability, bool) {
	others := t.GroupSize / 2
	switch {
	case others > 0 && len(t.holders) >= others:
		return model.DurabilityReplica, true
	case t.rowInTerm || len(t.inTerm) >= others:
		return model.DurabilityPrimary, true
	}
	return model.DurabilityNone, false
}

// Superseded reports whether an instance was found in a higher term.
func (t *Tally) Superseded() bool {
	return t.superseded
}

// holds reports whether the instance's log, in the owner's term, covers the write.
func (t *Tally) holds(state model.InstanceState) bool {
	if state.Term != t.Term {
		return false
	}
	if t.Point.Term != t.Term && !hasTermStart(state) {
		return false
	}
	return state.Timeline.Relate(state.Point, t.Point) == model.Covered
}

// hasTermStart reports whether the instance has taken over the timeline of its term.
func hasTermStart(state model.InstanceState) bool {
	for _, start := range state.Timeline {
		if start.Term == state.Term {
			return true
		}
	}
	return false
}

// add adds an instance to a set.
func (t *Tally) add(set *map[model.InstanceID]bool, id model.InstanceID) {
	if *set == nil {
		*set = make(map[model.InstanceID]bool)
	}
	(*set)[id] = true
}
