package ack

import "redwingspread/internal/model"

// Tally collects the evidence for the durability of a write, all of it read after the primary had committed the write.
type Tally struct {
	// Term is the current term of the owner.
	Term model.Term
	// Point is the write's term and position in the log.
	Point model.Point
	// GroupSize is the number of instances in the group, of which a promotion must fence a majority.
	GroupSize int

	holders    map[model.InstanceID]bool // instances that hold the write
	unfenced   map[model.InstanceID]bool // instances found in no higher term
	rowCurrent bool                      // whether the row was found in no higher term
	superseded bool                      // whether an instance was found in a higher term
}

// AddReplica adds the state of an instance of the group other than the primary, read after the commit.
func (t *Tally) AddReplica(state model.InstanceState) {
	if state.Term > t.Term {
		t.superseded = true
		return
	}
	t.add(&t.unfenced, state.Instance)
	if t.holds(state) {
		t.add(&t.holders, state.Instance)
	}
}

// AddRow adds the database's ownership row, read after the commit.
func (t *Tally) AddRow(row model.Ownership) {
	if row.Term > t.Term {
		return
	}
	t.rowCurrent = true
}

// Durability returns the proven durability, and false if the write may not be acknowledged yet.
//
// The primary accepted the write in the owner's term. Together with the holders it forms a majority, which shares an
// instance with every majority that a promotion fences. Together with the unfenced instances it forms a majority that no
// fence had reached when the write was made.
func (t *Tally) Durability() (model.Durability, bool) {
	needed := t.GroupSize / 2
	switch {
	case needed > 0 && len(t.holders) >= needed:
		return model.DurabilityReplica, true
	case t.rowCurrent || len(t.unfenced) >= needed:
		return model.DurabilityPrimary, true
	}
	return model.DurabilityNone, false
}

// Superseded reports whether an instance was found in a higher term.
func (t *Tally) Superseded() bool {
	return t.superseded
}

// holds reports whether an instance is in the owner's term with a log that contains the write.
func (t *Tally) holds(state model.InstanceState) bool {
	if state.Term != t.Term {
		return false
	}
	if t.Point.Term != t.Term && !hasTermStart(state) {
		return false
	}
	return state.Timeline.Relate(state.Point, t.Point) == model.Covered
}

// hasTermStart reports whether the instance's timeline contains the start of its term, so that it follows the term's primary.
func hasTermStart(state model.InstanceState) bool {
	for _, branch := range state.Timeline {
		if branch.Term == state.Term {
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
