package model

import "cmp"

// Point is a point in a database's log: the term that wrote the entry, and the entry's position.
type Point struct {
	Term     Term
	Position Position
}

// Compare orders points by term, then by position.
func (p Point) Compare(q Point) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Position, q.Position))
}

// Relation is the relation of a point to a log.
type Relation int

// The relations.
const (
	Covered Relation = iota // the log contains the point
	Ahead                   // the log does not contain the point yet
	Lost                    // the log diverged before the point and will never contain it
)

// Timeline lists the terms that may have written to a log, oldest first, each with the last position before the term.
//
// Terms may be dropped from the front. A term that is missing between the first and the last one never wrote to the log.
type Timeline []Point

// Relate returns the relation of the wanted point to the log that has this timeline and has reached the given point.
func (t Timeline) Relate(reached, want Point) Relation {
	if want.Position == 0 {
		return Covered
	}
	if want.Term > reached.Term || want.Term > t.newestTerm(reached.Term) {
		return Ahead
	}
	if t.isLost(want) {
		return Lost
	}
	if reached.Position < want.Position {
		return Ahead
	}
	return Covered
}

// newestTerm returns the last term of the timeline, or the given term if the timeline is empty.
func (t Timeline) newestTerm(empty Term) Term {
	if len(t) == 0 {
		return empty
	}
	return t[len(t)-1].Term
}

// isLost reports whether the log can never contain the point: a later term started at an earlier position, or the point's
// term never wrote to the log.
func (t Timeline) isLost(want Point) bool {
	wrote := len(t) == 0 || want.Term < t[0].Term
	for _, start := range t {
		if start.Term == want.Term {
			wrote = true
		}
		if start.Term > want.Term && start.Position < want.Position {
			return true
		}
	}
	return !wrote
}
