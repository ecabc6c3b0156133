package model

import "cmp"

// Point is one place in a database's log: the term that wrote it and its position.
type Point struct {
	Term     Term
	Position Position
}

// Compare orders points by term, then by position.
func (p Point) Compare(q Point) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Position, q.Position))
}

// Relation tells how a point lies to another log.
type Relation int

// The relations of a point to a log.
const (
	Covered Relation = iota // the log holds the point
	Ahead                   // the log does not hold the point yet
	Lost                    // the log has gone on without the point
)

// Timeline holds the start point of each term that may have written to a log, oldest first: the last position before the term.
//
// Old terms may be left out at the front, but none after the first: a term that is missing there never wrote to the log.
type Timeline []Point

// Relate tells how the wanted point lies to the log that has this timeline and reaches the given point.
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

// newestTerm returns the last term that the timeline knows, or the given one when it is empty.
func (t Timeline) newestTerm(otherwise Term) Term {
	if len(t) == 0 {
		return otherwise
	}
	return t[len(t)-1].Term
}

// isLost reports whether the log of the timeline went on without the point.
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
