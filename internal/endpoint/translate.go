package endpoint

import (
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/endpointapi"
)

// decodeError translates the error of a call into a *model.Refusal; nil stays nil.
func decodeError(err error, effect outbound.Effect) error {
	if err == nil {
		return nil
	}
	if status, ok := errors.AsType[*endpointapi.RefusalStatusCode](err); ok {
		return decodeRefusal(status.Response)
	}
	return outbound.ClassifyError(err, effect)
}

// decodeRefusal translates a refusal of an instance.
func decodeRefusal(message endpointapi.Refusal) *model.Refusal {
	refusal := &model.Refusal{
		Code:       model.Code(message.Code),
		NotRun:     message.NotRun,
		Message:    message.Message,
		RetryAfter: milliseconds(message.RetryAfterMs.Or(0)),
	}
	if state, ok := message.State.Get(); ok {
		reported := decodeState(state)
		refusal.State = &reported
		refusal.Term = reported.Term
	}
	return refusal
}

// decodeResult translates a result; the outcome is unknown when it belongs to another request.
func decodeResult(request model.RequestID, message endpointapi.StatementResult) (model.Result, model.InstanceState, error) {
	state := decodeState(message.State)
	if message.Request != string(request) {
		return model.Result{}, state, model.OutcomeUnknown("answer to request %q came for request %q", message.Request, request)
	}
	result := model.Result{
		Request:       request,
		Succeeded:     message.Done,
		FailureReason: message.Reason.Or(""),
		Rows:          decodeRows(message.Rows),
		Repeated:      message.Repeated.Or(false),
		Point:         decodePoint(message.Point),
		Instance:      state.Instance,
		Role:          state.Role,
		Term:          state.Term,
	}
	return result, state, nil
}

// encodeStatement translates work into the message that runs its statement.
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

// decodeState translates the state that an instance reports.
func decodeState(message endpointapi.InstanceState) model.InstanceState {
	timeline := make(model.Timeline, 0, len(message.Timeline))
	for _, start := range message.Timeline {
		timeline = append(timeline, decodePoint(start))
	}
	return model.InstanceState{
		Instance:        model.InstanceID(message.Instance),
		Database:        model.DatabaseID(message.Database),
		Role:            model.Role(message.Role),
		Term:            model.Term(message.Term),
		Point:           decodePoint(message.Point),
		Timeline:        timeline,
		Age:             model.Age(milliseconds(message.AgeMs)),
		Slots:           model.Slots(message.Slots),
		SlotsUsed:       model.Slots(message.SlotsUsed),
		Connections:     model.Connections(message.Connections),
		ConnectionsUsed: model.Connections(message.ConnectionsUsed),
		Leaving:         message.Leaving,
	}
}

// decodePoint translates a point in the log.
func decodePoint(message endpointapi.Point) model.Point {
	return model.Point{Term: model.Term(message.Term), Position: model.Position(message.Position)}
}

// decodeRows translates the rows of a result.
func decodeRows(from []endpointapi.Row) []model.Row {
	decoded := make([]model.Row, 0, len(from))
	for _, row := range from {
		decoded = append(decoded, model.Row(row))
	}
	return decoded
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(number int64) time.Duration {
	return time.Duration(number) * time.Millisecond
}
