package fleet

import "redwingspread/internal/model"

// maxRowTimeline is the number of recent terms that a row keeps.
const maxRowTimeline = 32

// electionPoint returns the newest term whose start the log reaches, and the log's length; elections compare it.
//
// A log that has the start of a term but no entry of it ranks above a longer log of an older term, which that term's
// primary went on without. A log that still has a tail from before it took the timeline over ranks by that tail's term.
func electionPoint(state model.InstanceState) model.Point {
	reached := state.Point
	for _, start := range state.Timeline {
		switch {
		case start.Term <= reached.Term:
		case start.Position < reached.Position:
			return state.Point
		case start.Position == reached.Position:
			reached.Term = start.Term
		}
	}
	return reached
}

// Adopted reports whether the instance holds all that the primary of the term began with.
func Adopted(state model.InstanceState, term model.Term) bool {
	return state.Term == term && electionPoint(state).Term == term
}

// recentTerms returns the newest terms of a timeline.
func recentTerms(timeline model.Timeline) model.Timeline {
	return timeline[max(0, len(timeline)-maxRowTimeline):]
}
