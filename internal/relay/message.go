package relay

import (
	"time"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
	"redwingspread/pkg/api/meshapi"
)

// SessionID identifies a session on a stream; the calling host chooses it.
type SessionID uint64

// Opening is the state with which a session begins at the host that serves it.
type Opening struct {
	Kind        model.KindID
	Version     model.Version  // of the calling host's configuration
	Tenant      model.TenantID // as the calling host has authorized it
	Transaction bool           // the session has begun a transaction
	ReadOnly    bool           // the transaction only reads
	LastCommit  model.Point    // newest commit of the session
}

// Call is one request of a session.
type Call struct {
	Session  SessionID
	Opening  *Opening // in the first call of a session
	Request  statement.Request
	Prepared statement.Prepared // definition of the prepared statement that the request executes
	Values   map[string]string  // all values of the session; nil when unchanged since its last call
	StartIn  time.Duration      // within which the request must be sent to an instance
	Left     time.Duration      // within which it must be answered
	Last     bool               // the session ends with the response
	End      bool               // the session ends at once; the call has no request and gets no reply

	room *budget.Account // of the memory that the message takes; nil if it is small
}

// Reply is the response to a call: that of an instance, or a refusal by the host.
type Reply struct {
	Session  SessionID
	Instance model.InstanceID // that responded
	Response statement.Response
	Led      bool           // the instance was the primary when it responded
	Refusal  *model.Refusal // nil when an instance responded
	Replicas []Replica      // of the database, to which the host keeps connections; empty from an older release
}

// Replica is what a host knows of the freshness of a replica.
type Replica struct {
	Instance model.InstanceID
	Reached  model.Point   // newest point that its log is known to hold
	Lag      time.Duration // estimated replication lag, in whole milliseconds; zero when it is not known
}

// encodeCall returns the message of a call.
func encodeCall(call *Call) ([]byte, error) {
	message := meshapi.Call{Session: uint64(call.Session)}
	if call.Opening != nil {
		message.Open = meshapi.NewOptOpening(meshapi.Opening{
			Kind:        string(call.Opening.Kind),
			Version:     optionalUint64(uint64(call.Opening.Version)),
			Tenant:      optionalString(string(call.Opening.Tenant)),
			Transaction: optionalBool(call.Opening.Transaction),
			Reads:       optionalBool(call.Opening.ReadOnly),
			Term:        optionalUint64(uint64(call.Opening.LastCommit.Term)),
			Position:    optionalUint64(uint64(call.Opening.LastCommit.Position)),
		})
	}
	if call.End {
		message.End = meshapi.NewOptBool(true)
		return message.MarshalJSON()
	}
	message.ID = meshapi.NewOptString(string(call.Request.ID))
	message.Verb = meshapi.NewOptInt(int(call.Request.Verb))
	message.Text = optionalString(call.Request.Text)
	message.Name = optionalString(call.Request.Name)
	message.Access = optionalString(string(call.Prepared.Access))
	message.Shape = optionalString(call.Prepared.Text)
	if call.Values != nil {
		message.Values = meshapi.NewOptCallValues(call.Values)
	}
	message.Start = meshapi.NewOptInt64(call.StartIn.Milliseconds())
	message.Left = meshapi.NewOptInt64(call.Left.Milliseconds())
	message.Last = optionalBool(call.Last)
	return message.MarshalJSON()
}

// decodeCall returns the call in a message.
func decodeCall(body []byte) (call Call, err error) {
	var message meshapi.Call
	if err := message.UnmarshalJSON(body); err != nil {
		return call, err
	}
	call = Call{
		Session: SessionID(message.Session),
		Request: statement.Request{ID: model.RequestID(message.ID.Value), Statement: statement.Statement{
			Verb: statement.Verb(message.Verb.Value), Text: message.Text.Value, Name: message.Name.Value,
		}},
		Prepared: statement.Prepared{Access: model.Access(message.Access.Value), Text: message.Shape.Value},
		StartIn:  model.Milliseconds(message.Start.Value).Duration(),
		Left:     model.Milliseconds(message.Left.Value).Duration(),
		Last:     message.Last.Value,
		End:      message.End.Value,
	}
	if message.Values.Set {
		call.Values = message.Values.Value
	}
	if message.Open.Set {
		opening := message.Open.Value
		call.Opening = &Opening{
			Kind:        model.KindID(opening.Kind),
			Version:     model.Version(opening.Version.Value),
			Tenant:      model.TenantID(opening.Tenant.Value),
			Transaction: opening.Transaction.Value,
			ReadOnly:    opening.Reads.Value,
			LastCommit:  model.Point{Term: model.Term(opening.Term.Value), Position: model.Position(opening.Position.Value)},
		}
	}
	return call, nil
}

// encodeReply returns the message of a reply.
func encodeReply(reply *Reply) ([]byte, error) {
	message := meshapi.Reply{Session: uint64(reply.Session)}
	for _, replica := range reply.Replicas {
		message.Replicas = append(message.Replicas, meshapi.Replica{
			Instance: string(replica.Instance),
			Term:     optionalUint64(uint64(replica.Reached.Term)),
			Position: optionalUint64(uint64(replica.Reached.Position)),
			Lag:      optionalMilliseconds(replica.Lag),
		})
	}
	if refusal := reply.Refusal; refusal != nil {
		message.Refused = meshapi.NewOptBool(true)
		message.Code = meshapi.NewOptString(string(refusal.Code))
		message.Text = optionalString(refusal.Message)
		message.Unrun = optionalBool(refusal.NotRun)
		message.Retry = meshapi.NewOptInt64(refusal.RetryAfter.Milliseconds())
		message.State = meshapi.NewOptInt(int(reply.Response.State))
		return message.MarshalJSON()
	}
	response := &reply.Response
	message.Instance = optionalString(string(reply.Instance))
	for _, row := range response.Rows {
		message.Rows = append(message.Rows, string(row))
	}
	message.Signature = optionalString(string(response.Signature))
	message.Code = optionalString(string(response.Code))
	message.Word = optionalString(response.WireCode)
	message.Text = optionalString(response.Text)
	message.State = meshapi.NewOptInt(int(response.State))
	message.Term = optionalUint64(uint64(response.Point.Term))
	message.Position = optionalUint64(uint64(response.Point.Position))
	message.Led = optionalBool(reply.Led)
	return message.MarshalJSON()
}

// decodeReply returns the reply in a message.
func decodeReply(body []byte) (reply Reply, err error) {
	var message meshapi.Reply
	if err := message.UnmarshalJSON(body); err != nil {
		return reply, err
	}
	reply = Reply{
		Session:  SessionID(message.Session),
		Instance: model.InstanceID(message.Instance.Value),
		Led:      message.Led.Value,
		Response: statement.Response{
			Code:     model.Code(message.Code.Value),
			WireCode: message.Word.Value,
			Text:     message.Text.Value,
			State:    statement.State(message.State.Value),
			Point:    model.Point{Term: model.Term(message.Term.Value), Position: model.Position(message.Position.Value)},
		},
	}
	if message.Signature.Set {
		reply.Response.Signature = []byte(message.Signature.Value)
	}
	for _, row := range message.Rows {
		reply.Response.Rows = append(reply.Response.Rows, []byte(row))
	}
	for _, replica := range message.Replicas {
		reply.Replicas = append(reply.Replicas, Replica{
			Instance: model.InstanceID(replica.Instance),
			Reached:  model.Point{Term: model.Term(replica.Term.Value), Position: model.Position(replica.Position.Value)},
			Lag:      max(model.Milliseconds(replica.Lag.Value).Duration(), 0),
		})
	}
	if message.Refused.Value {
		reply.Refusal = &model.Refusal{
			Code:       model.Code(message.Code.Value),
			NotRun:     message.Unrun.Value,
			Message:    message.Text.Value,
			RetryAfter: model.Milliseconds(message.Retry.Value).Duration(),
		}
	}
	return reply, nil
}

// optionalString returns a field that is absent when the text is empty.
func optionalString(text string) meshapi.OptString {
	return meshapi.OptString{Value: text, Set: text != ""}
}

// optionalBool returns a field that is absent when the value is false.
func optionalBool(value bool) meshapi.OptBool { return meshapi.OptBool{Value: value, Set: value} }

// optionalUint64 returns a field that is absent when the number is zero.
func optionalUint64(number uint64) meshapi.OptUint64 {
	return meshapi.OptUint64{Value: number, Set: number != 0}
}

// optionalMilliseconds returns a field that is absent when the duration is less than a millisecond.
func optionalMilliseconds(d time.Duration) meshapi.OptInt64 {
	return meshapi.OptInt64{Value: d.Milliseconds(), Set: d >= time.Millisecond}
}
