package instance

import (
	"encoding/json"
	"fmt"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/data"
	"redwingspread/pkg/api/endpointapi"
	"redwingspread/pkg/api/standinapi"
)

// entryContent is the text form of an entry's statements and recorded outcome.
type entryContent struct {
	Statements []model.Statement `json:"statements"`
	Outcome    data.Outcome      `json:"outcome"`
}

// logMessage translates a part of the log to its message.
func logMessage(part logBatch) (*standinapi.Log, error) {
	message := &standinapi.Log{
		Term:    uint64(part.term),
		Point:   logPoint(part.point),
		Entries: make([]standinapi.LogEntry, 0, len(part.entries)),
	}
	for _, start := range part.timeline {
		message.Timeline = append(message.Timeline, logPoint(start))
	}
	if last := len(part.timeline) - 1; last >= 0 {
		message.Start = logPoint(part.timeline[last])
	}
	for _, e := range part.entries {
		text, err := json.Marshal(entryContent{Statements: e.statements, Outcome: e.outcome})
		if err != nil {
			return nil, fmt.Errorf("encode entry %d: %w", e.point.Position, err)
		}
		message.Entries = append(message.Entries, standinapi.LogEntry{
			Point:         logPoint(e.point),
			CommittedAtMs: e.committedAt.UnixMilli(),
			Request:       standinapi.NewOptString(string(e.request)),
			Change:        string(text),
		})
	}
	return message, nil
}

// logBatchOf translates a message to a part of the log.
func logBatchOf(message *standinapi.Log) (part logBatch, err error) {
	part = logBatch{term: model.Term(message.Term), point: pointOf(message.Point)}
	for _, start := range message.Timeline {
		part.timeline = append(part.timeline, pointOf(start))
	}
	for _, e := range message.Entries {
		var c entryContent
		if err := json.Unmarshal([]byte(e.Change), &c); err != nil {
			return part, fmt.Errorf("decode entry %d: %w", e.Point.Position, err)
		}
		part.entries = append(part.entries, entry{
			point:       pointOf(e.Point),
			committedAt: time.UnixMilli(e.CommittedAtMs),
			request:     model.RequestID(e.Request.Or("")),
			statements:  c.Statements,
			outcome:     c.Outcome,
		})
	}
	return part, nil
}

// logPoint translates a point to the stand-in interface.
func logPoint(p model.Point) standinapi.Point {
	return standinapi.Point{Term: uint64(p.Term), Position: uint64(p.Position)}
}

// pointOf translates a point from the stand-in interface.
func pointOf(p standinapi.Point) model.Point {
	return model.Point{Term: model.Term(p.Term), Position: model.Position(p.Position)}
}

// endpointPoint translates a point to the endpoint interface.
func endpointPoint(p model.Point) endpointapi.Point {
	return endpointapi.Point{Term: uint64(p.Term), Position: uint64(p.Position)}
}

// stateMessage translates what the instance says of itself.
func stateMessage(s model.InstanceState) *endpointapi.InstanceState {
	timeline := make([]endpointapi.Point, 0, len(s.Timeline))
	for _, start := range s.Timeline {
		timeline = append(timeline, endpointPoint(start))
	}
	return &endpointapi.InstanceState{
		Instance:        string(s.Instance),
		Database:        string(s.Database),
		Role:            endpointapi.Role(s.Role),
		Term:            uint64(s.Term),
		Point:           endpointPoint(s.Point),
		Timeline:        timeline,
		AgeMs:           time.Duration(s.Age).Milliseconds(),
		Slots:           int(s.Slots),
		SlotsUsed:       int(s.SlotsUsed),
		Connections:     int(s.Connections),
		ConnectionsUsed: int(s.ConnectionsUsed),
		Leaving:         s.Leaving,
	}
}

// resultMessage translates a result.
func resultMessage(request string, a reply) *endpointapi.StatementResult {
	rows := make([]endpointapi.Row, 0, len(a.result.Rows))
	for _, row := range a.result.Rows {
		rows = append(rows, endpointapi.Row(row))
	}
	return &endpointapi.StatementResult{
		Request:  request,
		Done:     a.result.Done,
		Reason:   endpointapi.NewOptString(a.result.FailureReason),
		Rows:     rows,
		Repeated: endpointapi.NewOptBool(a.result.Repeated),
		Point:    endpointPoint(a.result.Point),
		State:    *stateMessage(a.state),
	}
}

// workOf translates a message to the work that it asks for.
func workOf(m *endpointapi.StatementRequest) model.Work {
	work := model.Work{
		Request: model.RequestID(m.Request),
		Statement: model.Statement{
			Kind:      model.KindID(m.Statement.Kind),
			Access:    model.Access(m.Statement.Access),
			Operation: m.Statement.Operation,
			Arguments: m.Statement.Arguments,
		},
		MinPoint: model.Point{Term: model.Term(m.Least.Term), Position: model.Position(m.Least.Position)},
		MaxWait:  time.Duration(m.WaitMs.Or(0)) * time.Millisecond,
	}
	if ms, ok := m.MaxAgeMs.Get(); ok {
		age := model.Age(time.Duration(ms) * time.Millisecond)
		work.MaxAge = &age
	}
	return work
}
