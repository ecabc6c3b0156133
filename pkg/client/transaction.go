package client

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/callerapi"
)

// Transaction is an open transaction of a session. Its statements are never retried.
type Transaction struct {
	session  *Session
	id       string // assigned by the host
	database DatabaseID
	request  RequestID // id under which the commit is recorded
}

// Begin begins a transaction on the database's primary. Its commit is recorded under the request id; a new id is generated if it
// is empty. The error is an *Error.
func (s *Session) Begin(ctx context.Context, database DatabaseID, kind KindID, request RequestID) (*Transaction, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withTimeout(ctx)
	defer cancel()
	request = requestIDOrNew(request)
	if err := s.resolvePending(ctx, database, request); err != nil {
		return nil, err
	}
	transaction := &Transaction{session: s, database: database, request: request}
	_, refusal := s.retry(ctx, false, func(ctx context.Context) (Result, error) {
		return Result{}, transaction.begin(ctx, kind)
	})
	if refusal != nil {
		refusal.NotRun = true // a transaction that is never committed has no effect
		return nil, newError(request, refusal)
	}
	return transaction, nil
}

// Run runs a statement in the transaction, on the database of the transaction; its error is an *Error.
func (t *Transaction) Run(ctx context.Context, statement Statement) (Result, error) {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withTimeout(ctx)
	defer cancel()
	statement.Database = t.database
	request := requestIDOrNew(statement.Request)
	result, err := t.session.execute(ctx, request, statement, t.id)
	if err != nil {
		return Result{}, newError(request, refusalFromError(err))
	}
	return result, nil
}

// Commit commits the transaction. If the answer is lost, it asks the hosts for the recorded outcome. Its error is an *Error.
func (t *Transaction) Commit(ctx context.Context) (Result, error) {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withTimeout(ctx)
	defer cancel()
	return t.session.runToOutcome(ctx, t.database, t.request, false, t.commit)
}

// Rollback rolls the transaction back; its error is an *Error.
func (t *Transaction) Rollback(ctx context.Context) error {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withTimeout(ctx)
	defer cancel()
	invoker, err := t.session.client.invoker()
	if err == nil {
		err = invoker.Rollback(ctx, t.endRequest(ctx), callerapi.RollbackParams{Transaction: t.id})
	}
	if err != nil {
		return newError(t.request, refusalFromError(err))
	}
	return nil
}

// begin sends the begin request once.
func (t *Transaction) begin(ctx context.Context, kind KindID) error {
	invoker, err := t.session.client.invoker()
	if err != nil {
		return model.Refuse(model.CodeInvalid, "%v", err)
	}
	begun, err := invoker.Begin(ctx, &callerapi.BeginRequest{
		Request:    string(t.request),
		Database:   string(t.database),
		Kind:       string(kind),
		Token:      optionalString(t.session.token),
		DeadlineMs: callerapi.NewOptInt64(timeLeft(ctx).Milliseconds()),
	})
	if err != nil {
		t.session.saveRefusalToken(err)
		return err
	}
	t.id = begun.Transaction
	t.session.token = begun.Token
	return nil
}

// commit sends the commit request once.
func (t *Transaction) commit(ctx context.Context) (Result, error) {
	invoker, err := t.session.client.invoker()
	if err != nil {
		return Result{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.Commit(ctx, t.endRequest(ctx), callerapi.CommitParams{Transaction: t.id})
	return t.session.acceptAnswer(t.request, answer, err)
}

// endRequest returns the message of a commit or rollback.
func (t *Transaction) endRequest(ctx context.Context) *callerapi.EndRequest {
	return &callerapi.EndRequest{
		Request:    string(t.request),
		Token:      optionalString(t.session.token),
		DeadlineMs: callerapi.NewOptInt64(timeLeft(ctx).Milliseconds()),
	}
}
