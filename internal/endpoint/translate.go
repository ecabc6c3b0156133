package endpoint

import (
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/endpointapi"
)

// decodeError returns the *model.Refusal that a failed call amounts to, or nil when it did not fail.
func decodeError(err error, effect outbound.Effect) error {
	if err == nil {
		return nil
	}
	if status, ok := errors.AsType[*endpointapi.RefusalStatusCode](err); ok {
		return decodeRefusal(status.Response)
	}
	return outbound.ClassifyError(err, effect)
}

// decodeRefusal translates the refusal of an instance.
func decodeRefusal(r endpointapi.Refusal) *model.Refusal {
	translated := &model.Refusal{
		Code:       model.Code(r.Code),
		NotRun:     r.NotRun,
		Message:    r.Message,
		RetryAfter: milliseconds(r.RetryAfterMs.Or(0)),
	}
	if state, ok := r.State.Get(); ok {
		known := decodeState(state)
		translated.State = &known
		translated.Term = known.Term
	}
	return translated
}

// decodeResult translates a result and refuses one that belongs to another request.
func decodeResult(asked model.RequestID, r endpointapi.StatementResult) (model.Result, model.InstanceState, error) {
	state := decodeState(r.State)
	if r.Request != string(asked) {
		return model.Result{}, state, model.OutcomeUnknown("answer to request %q came for request %q", r.Request, asked)
	}
	result := model.Result{
		Request:       asked,
		Done:          r.Done,
		FailureReason: r.Reason.Or(""),
		Rows:          decodeRows(r.Rows),
		Repeated:      r.Repeated.Or(false),
		Point:         decodePoint(r.Point),
		Instance:      state.Instance,
		Role:          state.Role,
		Term:          state.Term,
	}
	return result, state, nil
}

// encodeStatement translates work to the message that runs it.
func encodeStatement(term model.Term, work model.Work) *endpointapi.StatementRequest {
	message := &endpointapi.StatementRequest{
		Term:    uint64(term),
		Request: string(work.Request),
		Least:   endpointapi.Point{Term: uint64(work.MinPoint.Term), Position: uint64(work.MinPoint.Position)},
		Statement: endpointapi.Statement{
			Kind:      string(work.Statement.Kind),
			Access:    endpointapi.Access(work.Statement.Access),
			Operation: work.Statement.Operation,
			Arguments: work.Statement.Arguments,
		},
	}
	if message.Statement.Arguments == nil {
		message.Statement.Arguments = endpointapi.StatementArguments{}
	}
	if work.MaxAge != nil {
		message.MaxAgeMs = endpointapi.NewOptInt64(time.Duration(*work.MaxAge).Milliseconds())
	}
	if work.MaxWait > 0 {
		message.WaitMs = endpointapi.NewOptInt64(work.MaxWait.Milliseconds())
	}
	return message
}

// decodeState translates what an instance says of itself.
func decodeState(s endpointapi.InstanceState) model.InstanceState {
	timeline := make(model.Timeline, 0, len(s.Timeline))
	for _, start := range s.Timeline {
		timeline = append(timeline, decodePoint(start))
	}
	return model.InstanceState{
		Instance:        model.InstanceID(s.Instance),
		Database:        model.DatabaseID(s.Database),
		Role:            model.Role(s.Role),
		Term:            model.Term(s.Term),
		Point:           decodePoint(s.Point),
		Timeline:        timeline,
		Age:             model.Age(milliseconds(s.AgeMs)),
		Slots:           model.Slots(s.Slots),
		SlotsUsed:       model.Slots(s.SlotsUsed),
		Connections:     model.Connections(s.Connections),
		ConnectionsUsed: model.Connections(s.ConnectionsUsed),
		Leaving:         s.Leaving,
	}
}

// decodePoint translates a point of the log.
func decodePoint(p endpointapi.Point) model.Point {
	return model.Point{Term: model.Term(p.Term), Position: model.Position(p.Position)}
}

// decodeRows translates the rows of an answer.
func decodeRows(from []endpointapi.Row) []model.Row {
	translated := make([]model.Row, 0, len(from))
	for _, row := range from {
		translated = append(translated, model.Row(row))
	}
	return translated
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(number int64) time.Duration {
	return time.Duration(number) * time.Millisecond
}
