package instance

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/data"
)

// entry is one change of the log, with the request id and its recorded outcome.
type entry struct {
	point       model.Point
	committedAt time.Time
	request     model.RequestID
	statements  []model.Statement
	outcome     data.Outcome
}

// history is the log and the database that follows from it.
type history struct {
	entries  []entry
	timeline model.Timeline
	database *data.Database
	recorded map[model.RequestID]model.Position
}

// newHistory returns an empty log.
func newHistory() *history {
	return &history{database: data.New(), recorded: map[model.RequestID]model.Position{}}
}

// last returns the point of the last entry.
func (h *history) last() model.Point {
	if len(h.entries) == 0 {
		return model.Point{}
	}
	return h.entries[len(h.entries)-1].point
}

// point returns the newest term whose start the log reaches, and the log's length; a log that is yet to be cut has its last entry's term.
func (h *history) point() model.Point {
	return h.pointOf(h.last())
}

// pointOf returns the point of a log that ends with the given entry.
func (h *history) pointOf(point model.Point) model.Point {
	if termAt(h.timeline, point.Position) != point.Term {
		return point
	}
	for _, start := range h.timeline {
		if start.Position <= point.Position {
			point.Term = start.Term
		}
	}
	return point
}

// apply appends an entry and carries its statements out.
func (h *history) apply(e entry) {
	for _, statement := range e.statements {
		h.database.Run(statement)
	}
	h.database.Keep()
	h.entries = append(h.entries, e)
	if e.request != "" {
		h.recorded[e.request] = e.point.Position
	}
}

// find returns the entry that recorded a request id.
func (h *history) find(request model.RequestID) (entry, bool) {
	position, found := h.recorded[request]
	if !found || request == "" {
		return entry{}, false
	}
	return h.entries[position-1], true
}

// after returns at most limit entries past the position.
func (h *history) after(position model.Position, limit int) []entry {
	if int(position) >= len(h.entries) {
		return nil
	}
	rest := h.entries[position:]
	return rest[:min(limit, len(rest))]
}

// fork returns the last position that this log shares with the log of the timeline and the last point.
func (h *history) fork(timeline model.Timeline, last model.Point) model.Position {
	shared := min(model.Position(len(h.entries)), last.Position)
	for shared > 0 && termAt(timeline, shared) != h.entries[shared-1].point.Term {
		shared--
	}
	return shared
}

// cut drops the entries past the position and builds the database anew from the rest.
func (h *history) cut(position model.Position) {
	kept := h.entries[:position]
	*h = history{
		entries:  make([]entry, 0, len(kept)),
		timeline: h.timeline,
		database: data.New(),
		recorded: map[model.RequestID]model.Position{},
	}
	for _, e := range kept {
		h.apply(e)
	}
}

// termAt returns the term that wrote a position.
func termAt(timeline model.Timeline, position model.Position) model.Term {
	var term model.Term
	for _, start := range timeline {
		if start.Position < position {
			term = start.Term
		}
	}
	return term
}
