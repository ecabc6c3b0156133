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

// entryContent is the JSON encoding of an entry's statements and recorded outcome.
type entryContent struct {
	Statements []model.Statement `json:"statements"`
	Outcome    data.Outcome      `json:"outcome"`
}

// logMessage translates a batch of the log to a message.
func logMessage(batch logBatch) (*standinapi.Log, error) {
	message := &standinapi.Log{
		Term:    uint64(batch.term),
		Point:   logPoint(batch.point),
		Entries: make([]standinapi.LogEntry, 0, len(batch.entries)),
	}
	for _, start := range batch.timeline {
		message.Timeline = append(message.Timeline, logPoint(start))
	}
	if last := len(batch.timeline) - 1; last >= 0 {
		message.Start = logPoint(batch.timeline[last])
	}
	for _, e := range batch.entries {
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

// logBatchOf translates a message to a batch of the log.
func logBatchOf(message *standinapi.Log) (batch logBatch, err error) {
	batch = logBatch{term: model.Term(message.Term), point: pointOf(message.Point)}
	for _, start := range message.Timeline {
		batch.timeline = append(batch.timeline, pointOf(start))
	}
	for _, e := range message.Entries {
		var content entryContent
		if err := json.Unmarshal([]byte(e.Change), &content); err != nil {
			return batch, fmt.Errorf("decode entry %d: %w", e.Point.Position, err)
		}
		batch.entries = append(batch.entries, entry{
			point:       pointOf(e.Point),
			committedAt: time.UnixMilli(e.CommittedAtMs),
			request:     model.RequestID(e.Request.Or("")),
			statements:  content.Statements,
			outcome:     content.Outcome,
		})
	}
	return batch, nil
}

// logPoint translates a point to a message of the stand-in API.
func logPoint(p model.Point) standinapi.Point {
	return standinapi.Point{Term: uint64(p.Term), Position: uint64(p.Position)}
}

// pointOf translates a point from a message of the stand-in API.
func pointOf(p standinapi.Point) model.Point {
	return model.Point{Term: model.Term(p.Term), Position: model.Position(p.Position)}
}

// endpointPoint translates a point to a message of the endpoint API.
func endpointPoint(p model.Point) endpointapi.Point {
	return endpointapi.Point{Term: uint64(p.Term), Position: uint64(p.Position)}
}

// stateMessage translates the instance's state to a message.
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

// resultMessage translates a result to a message.
func resultMessage(request string, r reply) *endpointapi.StatementResult {
	rows := make([]endpointapi.Row, 0, len(r.result.Rows))
	for _, row := range r.result.Rows {
		rows = append(rows, endpointapi.Row(row))
	}
	return &endpointapi.StatementResult{
		Request:  request,
		Done:     r.result.Succeeded,
		Reason:   endpointapi.NewOptString(r.result.FailureReason),
		Rows:     rows,
		Repeated: endpointapi.NewOptBool(r.result.Repeated),
		Point:    endpointPoint(r.result.Point),
		State:    *stateMessage(r.state),
	}
}

// workOf translates a message to the requested work.
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
