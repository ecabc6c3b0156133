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

// Statement is an operation on a database; the system does not interpret the operation and its arguments.
type Statement struct {
	Database  DatabaseID
	Kind      KindID
	Operation string
	Arguments map[string]string
	Read      bool           // the operation changes nothing, so any failed attempt may be retried
	MaxAge    *time.Duration // maximum staleness that a read accepts; nil for the default of the kind
	Request   RequestID      // a new id is generated if it is empty
}

// Result is the result of a request that ran.
type Result struct {
	Request       RequestID
	Done          bool   // false if it ran and failed without a change
	FailureReason string // reason of the failure when Done is false
	Rows          []Row
	Instance      InstanceID // instance that ran the request
	Role          Role       // role of that instance
	Host          HostID     // host that took the request
	Durability    Durability
	Repeated      bool // the result was recorded by an earlier run of the same request id
}

// Session is a sequence of requests, each of which sees the effects of the earlier ones. Concurrent calls run one at a time.
type Session struct {
	client *Client

	mutex   sync.Mutex
	token   string                   // of the last response; empty in a new session
	pending map[DatabaseID]RequestID // for each database, the write whose outcome is unknown
}

// Token returns the current session token, with which Resume continues the session, on another host or in another process too.
func (s *Session) Token() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.token
}

// Run runs a statement outside a transaction and retries it if that is safe; its error is an *Error.
func (s *Session) Run(ctx context.Context, statement Statement) (Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withTimeout(ctx)
	defer cancel()
	request := requestIDOrNew(statement.Request)
	if err := s.resolvePending(ctx, statement.Database, request); err != nil {
		return Result{}, err
	}
	return s.runToOutcome(ctx, statement.Database, request, statement.Read, func(ctx context.Context) (Result, error) {
		return s.execute(ctx, request, statement, "")
	})
}

// Outcome returns the recorded result of a request; its error is an *Error, whose code is not_found if the request never ran.
func (s *Session) Outcome(ctx context.Context, database DatabaseID, request RequestID) (Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withTimeout(ctx)
	defer cancel()
	return s.resolve(ctx, database, request)
}

// attempt sends a request once.
type attempt func(ctx context.Context) (Result, error)

// runToOutcome runs a request with retries. If the outcome of a write remains unknown, it asks the hosts for the recorded one.
func (s *Session) runToOutcome(ctx context.Context, database DatabaseID, request RequestID, read bool, send attempt) (Result, error) {
	result, refusal := s.retry(ctx, read, send)
	if refusal == nil {
		return result, nil
	}
	if read || refusal.NotRun {
		return Result{}, newError(request, refusal)
	}
	s.pending[database] = request
	return s.resolve(ctx, database, request)
}

// retry sends a request until it succeeds, or until another attempt is unsafe, too late or over the retry budget.
func (s *Session) retry(ctx context.Context, read bool, send attempt) (Result, *model.Refusal) {
	access := model.Write
	if read {
		access = model.Read
	}
	backoff := retry.NewBackoff()
	for {
		result, err := send(ctx)
		if err == nil {
			s.client.budget.RecordSuccess()
			return result, nil
		}
		refusal := refusalFromError(err)
		s.client.nextHost()
		if !retry.Allowed(refusal, access, false, timeLeft(ctx)) || !s.client.budget.Take() {
			return Result{}, refusal
		}
		if clock.Pause(ctx, backoff.Next(refusal.RetryAfter)) != nil {
			return Result{}, refusal
		}
	}
}

// resolvePending resolves the pending write of the database before another request runs, so that this one sees its effect.
func (s *Session) resolvePending(ctx context.Context, database DatabaseID, request RequestID) error {
	pending := s.pending[database]
	if pending == "" || pending == request {
		return nil
	}
	_, err := s.resolve(ctx, database, pending)
	var unresolved *Error
	if errors.As(err, &unresolved) && !unresolved.NotRun {
		return newError(request, model.Refuse(model.CodeUnavailable, "the outcome of the earlier request %s is not known yet: %s", pending, unresolved.Message))
	}
	return nil
}

// resolve asks the hosts for the recorded outcome of a request, with retries.
func (s *Session) resolve(ctx context.Context, database DatabaseID, request RequestID) (Result, error) {
	result, refusal := s.retry(ctx, true, func(ctx context.Context) (Result, error) {
		return s.fetchOutcome(ctx, database, request)
	})
	if refusal == nil {
		s.clearPending(database, request)
		return result, nil
	}
	if refusal.Code == model.CodeNotFound {
		s.clearPending(database, request)
		return Result{}, newError(request, model.Refuse(model.CodeNotFound, "the request never ran: %s", refusal.Message))
	}
	return Result{}, newError(request, model.OutcomeUnknown("the outcome could not be resolved: %s", refusal.Message))
}

// clearPending removes a pending write whose outcome is known.
func (s *Session) clearPending(database DatabaseID, request RequestID) {
	if s.pending[database] == request {
		delete(s.pending, database)
	}
}

// execute sends a statement once; the transaction id is empty outside a transaction.
func (s *Session) execute(ctx context.Context, request RequestID, statement Statement, transaction string) (Result, error) {
	invoker, err := s.client.invoker()
	if err != nil {
		return Result{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.Execute(ctx, &callerapi.StatementRequest{
		Request:     string(request),
		Database:    string(statement.Database),
		Kind:        string(statement.Kind),
		Operation:   statement.Operation,
		Arguments:   statement.Arguments,
		MaxAgeMs:    optionalMilliseconds(statement.MaxAge),
		Token:       optionalString(s.token),
		Transaction: optionalString(transaction),
		DeadlineMs:  callerapi.NewOptInt64(timeLeft(ctx).Milliseconds()),
	})
	return s.acceptAnswer(request, answer, err)
}

// fetchOutcome asks a host once for the recorded outcome of a request.
func (s *Session) fetchOutcome(ctx context.Context, database DatabaseID, request RequestID) (Result, error) {
	invoker, err := s.client.invoker()
	if err != nil {
		return Result{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.GetOutcome(ctx, callerapi.GetOutcomeParams{
		Request:  string(request),
		Database: string(database),
		Token:    optionalString(s.token),
	})
	return s.acceptAnswer(request, answer, err)
}

// acceptAnswer converts the answer to a request and saves its token; an answer to another request is an error.
func (s *Session) acceptAnswer(request RequestID, answer *callerapi.Answer, err error) (Result, error) {
	if err != nil {
		s.saveRefusalToken(err)
		return Result{}, err
	}
	if answer.Request != string(request) {
		return Result{}, model.OutcomeUnknown("the answer is of request %s", answer.Request)
	}
	s.token = answer.Token
	return decodeResult(answer), nil
}

// saveRefusalToken saves the token that a refusal carries, if any.
func (s *Session) saveRefusalToken(err error) {
	var response *callerapi.RefusalStatusCode
	if errors.As(err, &response) {
		s.token = response.Response.Token.Or(s.token)
	}
}

// decodeResult converts an answer from a host.
func decodeResult(answer *callerapi.Answer) Result {
	rows := make([]Row, len(answer.Rows))
	for i, row := range answer.Rows {
		rows[i] = Row(row)
	}
	return Result{
		Request:       RequestID(answer.Request),
		Done:          answer.Outcome == callerapi.AnswerOutcomeDone,
		FailureReason: answer.Reason.Or(""),
		Rows:          rows,
		Instance:      InstanceID(answer.Instance),
		Role:          Role(answer.Role),
		Host:          HostID(answer.Host),
		Durability:    Durability(answer.Durability),
		Repeated:      answer.Repeated.Or(false),
	}
}

// requestIDOrNew returns the given id, or a new random one if it is empty.
func requestIDOrNew(given RequestID) RequestID {
	if given != "" {
		return given
	}
	return RequestID(rand.Text())
}

// timeLeft returns the time until the context's deadline: zero once the context has ended, else at least 1 ms, the shortest
// deadline that the protocol allows.
func timeLeft(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	deadline, _ := ctx.Deadline()
	return max(time.Until(deadline), time.Millisecond)
}

// optionalMilliseconds returns an age in milliseconds, or an unset field if it is nil.
func optionalMilliseconds(age *time.Duration) callerapi.OptInt64 {
	if age == nil {
		return callerapi.OptInt64{}
	}
	return callerapi.NewOptInt64(age.Milliseconds())
}

// optionalString returns a string, or an unset field if it is empty.
func optionalString(value string) callerapi.OptString {
	if value == "" {
		return callerapi.OptString{}
	}
	return callerapi.NewOptString(value)
}
