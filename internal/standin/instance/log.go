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

// replicatedLog is the log and the database that follows from it.
type replicatedLog struct {
	entries   []entry
	timeline  model.Timeline
	database  *data.Database
	positions map[model.RequestID]model.Position
}

// newReplicatedLog returns an empty log.
func newReplicatedLog() *replicatedLog {
	return &replicatedLog{database: data.New(), positions: map[model.RequestID]model.Position{}}
}

// lastPoint returns the point of the last entry.
func (h *replicatedLog) lastPoint() model.Point {
	if len(h.entries) == 0 {
		return model.Point{}
	}
	return h.entries[len(h.entries)-1].point
}

// point returns the newest term whose start the log reaches, and the log's length; a log that is yet to be cut has its last entry's term.
func (h *replicatedLog) point() model.Point {
	return h.pointEndingAt(h.lastPoint())
}

// pointEndingAt returns the point of a log that ends with the given entry.
func (h *replicatedLog) pointEndingAt(point model.Point) model.Point {
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
func (h *replicatedLog) apply(e entry) {
	for _, statement := range e.statements {
		h.database.Run(statement)
	}
	h.database.Commit()
	h.entries = append(h.entries, e)
	if e.request != "" {
		h.positions[e.request] = e.point.Position
	}
}

// find returns the entry that recorded a request id.
func (h *replicatedLog) find(request model.RequestID) (entry, bool) {
	position, found := h.positions[request]
	if !found || request == "" {
		return entry{}, false
	}
	return h.entries[position-1], true
}

// after returns at most limit entries past the position.
func (h *replicatedLog) after(position model.Position, limit int) []entry {
	if int(position) >= len(h.entries) {
		return nil
	}
	rest := h.entries[position:]
	return rest[:min(limit, len(rest))]
}

// commonPrefix returns the last position that this log shares with the log of the timeline and the last point.
func (h *replicatedLog) commonPrefix(timeline model.Timeline, last model.Point) model.Position {
	shared := min(model.Position(len(h.entries)), last.Position)
	for shared > 0 && termAt(timeline, shared) != h.entries[shared-1].point.Term {
		shared--
	}
	return shared
}

// truncate drops the entries past the position and builds the database anew from the rest.
func (h *replicatedLog) truncate(position model.Position) {
	kept := h.entries[:position]
	*h = replicatedLog{
		entries:   make([]entry, 0, len(kept)),
		timeline:  h.timeline,
		database:  data.New(),
		positions: map[model.RequestID]model.Position{},
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
