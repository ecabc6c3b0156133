package fleet

import "redwingspread/internal/model"

// maxRowTimeline is the maximum number of terms in a row's timeline.
const maxRowTimeline = 32

// electionPoint returns the newest term whose start the log holds and the log's length. Elections compare it.
//
// A log that holds the start of a term but none of its entries ranks above a longer log of an older term, since the
// primary of the newer term went on without that log. A log that still has a tail from before it adopted the timeline
// ranks by the term of that tail.
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

// Adopted reports whether the instance holds everything that the primary of the term began with.
func Adopted(state model.InstanceState, term model.Term) bool {
	return state.Term == term && electionPoint(state).Term == term
}

// recentTerms returns the newest terms of a timeline.
func recentTerms(timeline model.Timeline) model.Timeline {
	return timeline[max(0, len(timeline)-maxRowTimeline):]
}
