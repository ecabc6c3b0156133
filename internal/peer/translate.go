package peer

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/peerapi"
)

// encodeWork translates work into a message; the deadline is sent as the time that remains.
func encodeWork(work model.Work, now time.Time) *peerapi.Work {
	message := &peerapi.Work{
		Origin:     string(work.Origin),
		Request:    string(work.Request),
		Database:   string(work.Database),
		Kind:       string(work.Statement.Kind),
		Access:     peerapi.WorkAccess(work.Statement.Access),
		Operation:  work.Statement.Operation,
		Arguments:  peerapi.WorkArguments(work.Statement.Arguments),
		Session:    string(work.Session),
		Least:      encodePoint(work.MinPoint),
		Known:      work.TokenComplete,
		DeadlineMs: max(0, work.Deadline.Sub(now).Milliseconds()),
	}
	if work.MaxAge != nil {
		message.MaxAgeMs = peerapi.NewOptInt64(time.Duration(*work.MaxAge).Milliseconds())
	}
	if work.Transaction != "" {
		message.Transaction = peerapi.NewOptString(string(work.Transaction))
	}
	return message
}

// decodeWork translates a message into work; the remaining time counts from now.
func decodeWork(message *peerapi.Work, now time.Time) model.Work {
	work := model.Work{
		Origin:   model.HostID(message.Origin),
		Request:  model.RequestID(message.Request),
		Database: model.DatabaseID(message.Database),
		Session:  model.SessionID(message.Session),
		Statement: model.Statement{
			Kind:      model.KindID(message.Kind),
			Access:    model.Access(message.Access),
			Operation: message.Operation,
			Arguments: message.Arguments,
		},
		MinPoint:      decodePoint(message.Least),
		TokenComplete: message.Known,
		Transaction:   model.TransactionID(message.Transaction.Or("")),
		Deadline:      now.Add(time.Duration(message.DeadlineMs) * time.Millisecond),
	}
	if age, set := message.MaxAgeMs.Get(); set {
		maxAge := model.Age(time.Duration(age) * time.Millisecond)
		work.MaxAge = &maxAge
	}
	return work
}

// encodeResult translates a result into a message.
func encodeResult(result model.Result) *peerapi.WorkResult {
	message := &peerapi.WorkResult{
		Request:    string(result.Request),
		Done:       result.Succeeded,
		Rows:       make([]peerapi.WorkResultRowsItem, 0, len(result.Rows)),
		Repeated:   peerapi.NewOptBool(result.Repeated),
		Point:      encodePoint(result.Point),
		Instance:   string(result.Instance),
		Role:       peerapi.WorkResultRole(result.Role),
		Durability: peerapi.WorkResultDurability(result.Durability),
		Term:       uint64(result.Term),
		Primary:    string(result.Primary),
	}
	for _, row := range result.Rows {
		message.Rows = append(message.Rows, peerapi.WorkResultRowsItem(row))
	}
	if result.FailureReason != "" {
		message.Reason = peerapi.NewOptString(result.FailureReason)
	}
	if result.Transaction != "" {
		message.Transaction = peerapi.NewOptString(string(result.Transaction))
	}
	for _, replica := range result.Replicas {
		message.Replicas = append(message.Replicas, peerapi.ReplicaState{
			Instance: string(replica.Instance),
			Term:     uint64(replica.Term),
			Point:    encodePoint(replica.Point),
			AgeMs:    time.Duration(replica.Age).Milliseconds(),
			Leaving:  replica.Leaving,
		})
	}
	return message
}

// decodeResult translates a message into a result.
func decodeResult(message *peerapi.WorkResult) model.Result {
	result := model.Result{
		Request:       model.RequestID(message.Request),
		Succeeded:     message.Done,
		FailureReason: message.Reason.Or(""),
		Rows:          make([]model.Row, 0, len(message.Rows)),
		Repeated:      message.Repeated.Or(false),
		Point:         decodePoint(message.Point),
		Instance:      model.InstanceID(message.Instance),
		Role:          model.Role(message.Role),
		Durability:    model.Durability(message.Durability),
		Transaction:   model.TransactionID(message.Transaction.Or("")),
		Term:          model.Term(message.Term),
		Primary:       model.InstanceID(message.Primary),
	}
	for _, row := range message.Rows {
		result.Rows = append(result.Rows, model.Row(row))
	}
	for _, replica := range message.Replicas {
		result.Replicas = append(result.Replicas, model.ReplicaState{
			Instance: model.InstanceID(replica.Instance),
			Term:     model.Term(replica.Term),
			Point:    decodePoint(replica.Point),
			Age:      model.Age(time.Duration(replica.AgeMs) * time.Millisecond),
			Leaving:  replica.Leaving,
		})
	}
	return result
}

func encodePoint(point model.Point) peerapi.Point {
	return peerapi.Point{Term: uint64(point.Term), Position: uint64(point.Position)}
}

func decodePoint(point peerapi.Point) model.Point {
	return model.Point{Term: model.Term(point.Term), Position: model.Position(point.Position)}
}
