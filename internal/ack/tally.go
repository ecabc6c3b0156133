package ack

import "redwingspread/internal/model"

// Tally gathers, for one write, what was read after the primary had committed it.
type Tally struct {
	// Term is the owner's term.
	Term model.Term
	// Point is the write's place in the log.
	Point model.Point
	// Group is the number of instances whose majority a promotion must fence.
	Group int

	holders   map[model.InstanceID]bool
	witnesses map[model.InstanceID]bool
	row       bool
	replaced  bool
}

// Replica takes the state of another instance of the group, read after the commit.
func (t *Tally) Replica(state model.InstanceState) {
	if state.Term > t.Term {
		t.replaced = true
		return
	}
	t.mark(&t.witnesses, state.Instance)
	if t.holds(state) {
		t.mark(&t.holders, state.Instance)
	}
}

// Row takes the database's row, read after the commit.
func (t *Tally) Row(row model.Ownership) {
	if row.Term > t.Term {
		return
	}
	t.row = true
}

// Reached returns the durability that is proved, and false when nothing may be acknowledged yet.
//
// The primary took the write in the owner's term. Holders with it are a majority, which shares an instance with every
// majority that a promotion fences. Witnesses with it are a majority that no fence had reached when the write was made.
func (t *Tally) Reached() (model.Durability, bool) {
	others := t.Group / 2
	switch {
	case others > 0 && len(t.holders) >= others:
		return model.DurabilityReplica, true
	case t.row || len(t.witnesses) >= others:
		return model.DurabilityPrimary, true
	}
	return model.DurabilityNone, false
}

// Replaced reports whether an instance was found in a higher term.
func (t *Tally) Replaced() bool {
	return t.replaced
}

// holds reports whether the instance's log, in the owner's term, covers the write.
func (t *Tally) holds(state model.InstanceState) bool {
	if state.Term != t.Term {
		return false
	}
	if t.Point.Term != t.Term && !follows(state) {
		return false
	}
	return state.Timeline.Relate(state.Point, t.Point) == model.Covered
}

// follows reports whether the instance has taken over the timeline of its term.
func follows(state model.InstanceState) bool {
	for _, start := range state.Timeline {
		if start.Term == state.Term {
			return true
		}
	}
	return false
}

// mark adds an instance to a set.
func (t *Tally) mark(set *map[model.InstanceID]bool, id model.InstanceID) {
	if *set == nil {
		*set = make(map[model.InstanceID]bool)
	}
	(*set)[id] = true
}
