package instance

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/data"
)

// entry is one entry of the log. It records the outcome of its request, so that a repeated request is recognised.
type entry struct {
	point       model.Point
	committedAt time.Time
	request     model.RequestID
	statements  []model.Statement
	outcome     data.Outcome
}

// replicatedLog is the log together with the database that results from applying it.
type replicatedLog struct {
	entries   []entry
	timeline  model.Timeline
	database  *data.Database
	positions map[model.RequestID]model.Position // position of the entry of each request
}

// newReplicatedLog returns an empty log.
func newReplicatedLog() *replicatedLog {
	return &replicatedLog{database: data.New(), positions: map[model.RequestID]model.Position{}}
}

// lastPoint returns the point of the last entry, or the zero point.
func (l *replicatedLog) lastPoint() model.Point {
	if len(l.entries) == 0 {
		return model.Point{}
	}
	return l.entries[len(l.entries)-1].point
}

// point returns the log's end: its length and the newest term of the timeline that starts at or before it. If the log
// diverges from the timeline and has not been truncated yet, the term is that of the last entry.
func (l *replicatedLog) point() model.Point {
	return l.pointEndingAt(l.lastPoint())
}

// pointEndingAt returns what point would return if the log ended with the entry at the given point.
func (l *replicatedLog) pointEndingAt(point model.Point) model.Point {
	if termAt(l.timeline, point.Position) != point.Term {
		return point
	}
	for _, start := range l.timeline {
		if start.Position <= point.Position {
			point.Term = start.Term
		}
	}
	return point
}

// apply appends an entry and runs its statements.
func (l *replicatedLog) apply(e entry) {
	for _, statement := range e.statements {
		l.database.Run(statement)
	}
	l.database.Commit()
	l.entries = append(l.entries, e)
	if e.request != "" {
		l.positions[e.request] = e.point.Position
	}
}

// find returns the entry of a request, if there is one.
func (l *replicatedLog) find(request model.RequestID) (entry, bool) {
	position, found := l.positions[request]
	if !found || request == "" {
		return entry{}, false
	}
	return l.entries[position-1], true
}

// after returns up to limit entries after the position.
func (l *replicatedLog) after(position model.Position, limit int) []entry {
	if int(position) >= len(l.entries) {
		return nil
	}
	rest := l.entries[position:]
	return rest[:min(limit, len(rest))]
}

// commonPrefix returns the last position up to which this log equals the log that has the given timeline and last point.
func (l *replicatedLog) commonPrefix(timeline model.Timeline, last model.Point) model.Position {
	shared := min(model.Position(len(l.entries)), last.Position)
	for shared > 0 && termAt(timeline, shared) != l.entries[shared-1].point.Term {
		shared--
	}
	return shared
}

// truncate removes the entries after the position and rebuilds the database from the remaining ones.
func (l *replicatedLog) truncate(position model.Position) {
	kept := l.entries[:position]
	*l = replicatedLog{
		entries:   make([]entry, 0, len(kept)),
		timeline:  l.timeline,
		database:  data.New(),
		positions: map[model.RequestID]model.Position{},
	}
	for _, e := range kept {
		l.apply(e)
	}
}

// termAt returns the term in which the entry at a position was written.
func termAt(timeline model.Timeline, position model.Position) model.Term {
	var term model.Term
	for _, start := range timeline {
		if start.Position < position {
			term = start.Term
		}
	}
	return term
}
