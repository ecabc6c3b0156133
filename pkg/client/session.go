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

// Result is the outcome of a statement that ran.
type Result struct {
	Request       RequestID
	Done          bool   // false when it ran and failed without a change
	FailureReason string // why it failed
	Rows          []Row
	Instance      InstanceID
	Role          Role
	Host          HostID
	Durability    Durability
	Repeated      bool // recorded by an earlier run of the same request
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

// Outcome returns the recorded answer of a request, or an *Error with the code not_found that tells that it never ran.
func (s *Session) Outcome(ctx context.Context, database DatabaseID, request RequestID) (Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withTimeout(ctx)
	defer cancel()
	return s.resolve(ctx, database, request)
}

// attempt is one try of a request.
type attempt func(ctx context.Context) (Result, error)

// runToOutcome tries a request until it has an answer, may not be repeated or is out of time.
func (s *Session) runToOutcome(ctx context.Context, database DatabaseID, request RequestID, read bool, try attempt) (Result, error) {
	answer, refusal := s.retry(ctx, read, try)
	if refusal == nil {
		return answer, nil
	}
	if read || refusal.NotRun {
		return Result{}, newError(request, refusal)
	}
	s.pending[database] = request
	return s.resolve(ctx, database, request)
}

// retry tries a request again as long as that is safe and within the budget.
func (s *Session) retry(ctx context.Context, read bool, try attempt) (Result, *model.Refusal) {
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
		refusal := refusalFromError(err)
		s.client.nextHost()
		if !retry.Allowed(refusal, access, false, timeLeft(ctx)) || !s.client.budget.Take() {
			return Result{}, refusal
		}
		if clock.Pause(ctx, pauses.Next(refusal.RetryAfter)) != nil {
			return Result{}, refusal
		}
	}
}

// resolvePending resolves the session's pending write of the database before another request runs.
func (s *Session) resolvePending(ctx context.Context, database DatabaseID, request RequestID) error {
	pending := s.pending[database]
	if pending == "" || pending == request {
		return nil
	}
	_, err := s.resolve(ctx, database, pending)
	var refused *Error
	if errors.As(err, &refused) && !refused.NotRun {
		return newError(request, model.Refuse(model.CodeUnavailable, "the outcome of the earlier request %s is not known yet: %s", pending, refused.Message))
	}
	return nil
}

// resolve asks for the outcome of a request until it is known or time is out.
func (s *Session) resolve(ctx context.Context, database DatabaseID, request RequestID) (Result, error) {
	answer, refusal := s.retry(ctx, true, func(ctx context.Context) (Result, error) {
		return s.fetchOutcome(ctx, database, request)
	})
	if refusal == nil {
		s.clearPending(database, request)
		return answer, nil
	}
	if refusal.Code == model.CodeNotFound {
		s.clearPending(database, request)
		return Result{}, newError(request, model.Refuse(model.CodeNotFound, "the request never ran: %s", refusal.Message))
	}
	return Result{}, newError(request, model.OutcomeUnknown("the outcome could not be resolved: %s", refusal.Message))
}

// clearPending ends the wait for the outcome of a pending write.
func (s *Session) clearPending(database DatabaseID, request RequestID) {
	if s.pending[database] == request {
		delete(s.pending, database)
	}
}

// execute sends a statement once.
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

// fetchOutcome asks once for the recorded answer of a request.
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

// acceptAnswer checks that an answer is the request's own and keeps its token.
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

// saveRefusalToken keeps the token that came with a refusal.
func (s *Session) saveRefusalToken(err error) {
	var refused *callerapi.RefusalStatusCode
	if errors.As(err, &refused) {
		s.token = refused.Response.Token.Or(s.token)
	}
}

// decodeResult returns a host's answer.
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

// requestIDOrNew returns the given name, or a new one.
func requestIDOrNew(given RequestID) RequestID {
	if given != "" {
		return given
	}
	return RequestID(rand.Text())
}

// timeLeft returns the time until the context ends, at least a millisecond while it has not.
func timeLeft(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	end, _ := ctx.Deadline()
	return max(time.Until(end), time.Millisecond)
}

// optionalMilliseconds returns an age as the interface takes it.
func optionalMilliseconds(age *time.Duration) callerapi.OptInt64 {
	if age == nil {
		return callerapi.OptInt64{}
	}
	return callerapi.NewOptInt64(age.Milliseconds())
}

// optionalString returns a text that is left out when it is empty.
func optionalString(text string) callerapi.OptString {
	if text == "" {
		return callerapi.OptString{}
	}
	return callerapi.NewOptString(text)
}
