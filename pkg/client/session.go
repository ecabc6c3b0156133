package client

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
	"redwingspread/pkg/api/callerapi"
)

// Statement is one operation on a database.
type Statement struct {
	Database  DatabaseID
	Kind      KindID
	Operation string
	Arguments map[string]string
	Read      bool           // true when it changes nothing, so that it may be repeated at will
	MaxAge    *time.Duration // age of data that a read accepts; nil for the kind's own
	Request   RequestID      // names the work; empty for a new name
}

// Answer is the outcome of a statement that ran.
type Answer struct {
	Request    RequestID
	Done       bool   // false when it ran and failed without a change
	Reason     string // why it failed
	Rows       []Row
	Instance   InstanceID
	Role       Role
	Host       HostID
	Durability Durability
	Repeated   bool // recorded by an earlier run of the same request
}

// Session runs one request at a time, and each sees what the earlier ones did.
type Session struct {
	client *Client

	mutex   sync.Mutex
	token   string
	pending map[DatabaseID]RequestID // writes whose outcome is not known
}

// Token returns the token that Resume takes.
func (s *Session) Token() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.token
}

// Run runs a statement; its error is an *Error.
func (s *Session) Run(ctx context.Context, statement Statement) (Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withDeadline(ctx)
	defer cancel()
	request := requestID(statement.Request)
	if err := s.settle(ctx, statement.Database, request); err != nil {
		return Answer{}, err
	}
	return s.finish(ctx, statement.Database, request, statement.Read, func(ctx context.Context) (Answer, error) {
		return s.execute(ctx, request, statement, "")
	})
}

// Outcome returns the recorded answer of a request, or an *Error with the code not_found that tells that it never ran.
func (s *Session) Outcome(ctx context.Context, database DatabaseID, request RequestID) (Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withDeadline(ctx)
	defer cancel()
	return s.resolve(ctx, database, request)
}

// call is one try of a request.
type call func(ctx context.Context) (Answer, error)

// finish tries a request until it has an answer, may not be repeated or is out of time.
func (s *Session) finish(ctx context.Context, database DatabaseID, request RequestID, read bool, try call) (Answer, error) {
	answer, refusal := s.repeat(ctx, read, try)
	if refusal == nil {
		return answer, nil
	}
	if read || refusal.NotRun {
		return Answer{}, asError(request, refusal)
	}
	s.pending[database] = request
	return s.resolve(ctx, database, request)
}

// repeat tries a request again as long as that is safe and within the budget.
func (s *Session) repeat(ctx context.Context, read bool, try call) (Answer, *model.Refusal) {
	access := model.Write
	if read {
		access = model.Read
	}
	pauses := retry.NewBackoff()
	for {
		answer, err := try(ctx)
		if err == nil {
			s.client.budget.RecordSuccess()
			return answer, nil
		}
		refusal := asRefusal(err)
		s.client.skip()
		if !retry.Allowed(refusal, access, false, left(ctx)) || !s.client.budget.Take() {
			return Answer{}, refusal
		}
		if clock.Pause(ctx, pauses.Next(refusal.RetryAfter)) != nil {
			return Answer{}, refusal
		}
	}
}

// settle resolves the session's pending write of the database before another request runs.
func (s *Session) settle(ctx context.Context, database DatabaseID, request RequestID) error {
	pending := s.pending[database]
	if pending == "" || pending == request {
		return nil
	}
	_, err := s.resolve(ctx, database, pending)
	var refused *Error
	if errors.As(err, &refused) && !refused.NotRun {
		return asError(request, model.Refuse(model.CodeUnavailable, "the outcome of the earlier request %s is not known yet: %s", pending, refused.Message))
	}
	return nil
}

// resolve asks for the outcome of a request until it is known or time is out.
func (s *Session) resolve(ctx context.Context, database DatabaseID, request RequestID) (Answer, error) {
	answer, refusal := s.repeat(ctx, true, func(ctx context.Context) (Answer, error) {
		return s.outcome(ctx, database, request)
	})
	if refusal == nil {
		s.forget(database, request)
		return answer, nil
	}
	if refusal.Code == model.CodeNotFound {
		s.forget(database, request)
		return Answer{}, asError(request, model.Refuse(model.CodeNotFound, "the request never ran: %s", refusal.Message))
	}
	return Answer{}, asError(request, model.OutcomeUnknown("the outcome could not be resolved: %s", refusal.Message))
}

// forget ends the wait for the outcome of a pending write.
func (s *Session) forget(database DatabaseID, request RequestID) {
	if s.pending[database] == request {
		delete(s.pending, database)
	}
}

// execute sends a statement once.
func (s *Session) execute(ctx context.Context, request RequestID, statement Statement, transaction string) (Answer, error) {
	invoker, err := s.client.invoker()
	if err != nil {
		return Answer{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.Execute(ctx, &callerapi.StatementRequest{
		Request:     string(request),
		Database:    string(statement.Database),
		Kind:        string(statement.Kind),
		Operation:   statement.Operation,
		Arguments:   statement.Arguments,
		MaxAgeMs:    milliseconds(statement.MaxAge),
		Token:       optional(s.token),
		Transaction: optional(transaction),
		DeadlineMs:  callerapi.NewOptInt64(left(ctx).Milliseconds()),
	})
	return s.take(request, answer, err)
}

// outcome asks once for the recorded answer of a request.
func (s *Session) outcome(ctx context.Context, database DatabaseID, request RequestID) (Answer, error) {
	invoker, err := s.client.invoker()
	if err != nil {
		return Answer{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.GetOutcome(ctx, callerapi.GetOutcomeParams{
		Request:  string(request),
		Database: string(database),
		Token:    optional(s.token),
	})
	return s.take(request, answer, err)
}

// take checks that an answer is the request's own and keeps its token.
func (s *Session) take(request RequestID, answer *callerapi.Answer, err error) (Answer, error) {
	if err != nil {
		s.keepRefused(err)
		return Answer{}, err
	}
	if answer.Request != string(request) {
		return Answer{}, model.OutcomeUnknown("the answer is of request %s", answer.Request)
	}
	s.token = answer.Token
	return decodeAnswer(answer), nil
}

// keepRefused keeps the token that came with a refusal.
func (s *Session) keepRefused(err error) {
	var refused *callerapi.RefusalStatusCode
	if errors.As(err, &refused) {
		s.token = refused.Response.Token.Or(s.token)
	}
}

// decodeAnswer returns a host's answer.
func decodeAnswer(answer *callerapi.Answer) Answer {
	rows := make([]Row, len(answer.Rows))
	for i, row := range answer.Rows {
		rows[i] = Row(row)
	}
	return Answer{
		Request:    RequestID(answer.Request),
		Done:       answer.Outcome == callerapi.AnswerOutcomeDone,
		Reason:     answer.Reason.Or(""),
		Rows:       rows,
		Instance:   InstanceID(answer.Instance),
		Role:       Role(answer.Role),
		Host:       HostID(answer.Host),
		Durability: Durability(answer.Durability),
		Repeated:   answer.Repeated.Or(false),
	}
}

// requestID returns the given name, or a new one.
func requestID(given RequestID) RequestID {
	if given != "" {
		return given
	}
	return RequestID(rand.Text())
}

// left returns the time until the context ends, at least a millisecond while it has not.
func left(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	end, _ := ctx.Deadline()
	return max(time.Until(end), time.Millisecond)
}

// milliseconds returns an age as the interface takes it.
func milliseconds(age *time.Duration) callerapi.OptInt64 {
	if age == nil {
		return callerapi.OptInt64{}
	}
	return callerapi.NewOptInt64(age.Milliseconds())
}

// optional returns a text that is left out when it is empty.
func optional(text string) callerapi.OptString {
	if text == "" {
		return callerapi.OptString{}
	}
	return callerapi.NewOptString(text)
}
