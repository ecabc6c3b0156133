package client

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/callerapi"
)

// Transaction is an open transaction of a session; its statements are never repeated.
type Transaction struct {
	session  *Session
	id       string
	database DatabaseID
	request  RequestID
}

// Begin begins a transaction on the database's primary, whose commit is recorded under the request id; its error is an *Error.
func (s *Session) Begin(ctx context.Context, database DatabaseID, kind KindID, request RequestID) (*Transaction, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, cancel := s.client.withDeadline(ctx)
	defer cancel()
	request = requestID(request)
	if err := s.settle(ctx, database, request); err != nil {
		return nil, err
	}
	transaction := &Transaction{session: s, database: database, request: request}
	_, refusal := s.repeat(ctx, false, func(ctx context.Context) (Answer, error) {
		return Answer{}, transaction.begin(ctx, kind)
	})
	if refusal != nil {
		refusal.NotRun = true // a transaction that is never committed has no effect
		return nil, asError(request, refusal)
	}
	return transaction, nil
}

// Run runs a statement in the transaction.
func (t *Transaction) Run(ctx context.Context, statement Statement) (Answer, error) {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withDeadline(ctx)
	defer cancel()
	statement.Database = t.database
	request := requestID(statement.Request)
	answer, err := t.session.execute(ctx, request, statement, t.id)
	if err != nil {
		return Answer{}, asError(request, asRefusal(err))
	}
	return answer, nil
}

// Commit commits the transaction and resolves its outcome when the answer is lost.
func (t *Transaction) Commit(ctx context.Context) (Answer, error) {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withDeadline(ctx)
	defer cancel()
	return t.session.finish(ctx, t.database, t.request, false, t.commit)
}

// Rollback rolls the transaction back.
func (t *Transaction) Rollback(ctx context.Context) error {
	t.session.mutex.Lock()
	defer t.session.mutex.Unlock()
	ctx, cancel := t.session.client.withDeadline(ctx)
	defer cancel()
	invoker, err := t.session.client.invoker()
	if err == nil {
		err = invoker.Rollback(ctx, t.end(ctx), callerapi.RollbackParams{Transaction: t.id})
	}
	if err != nil {
		return asError(t.request, asRefusal(err))
	}
	return nil
}

// begin sends the begin once.
func (t *Transaction) begin(ctx context.Context, kind KindID) error {
	invoker, err := t.session.client.invoker()
	if err != nil {
		return model.Refuse(model.CodeInvalid, "%v", err)
	}
	begun, err := invoker.Begin(ctx, &callerapi.BeginRequest{
		Request:    string(t.request),
		Database:   string(t.database),
		Kind:       string(kind),
		Token:      optional(t.session.token),
		DeadlineMs: callerapi.NewOptInt64(left(ctx).Milliseconds()),
	})
	if err != nil {
		t.session.keepRefused(err)
		return err
	}
	t.id = begun.Transaction
	t.session.token = begun.Token
	return nil
}

// commit sends the commit once.
func (t *Transaction) commit(ctx context.Context) (Answer, error) {
	invoker, err := t.session.client.invoker()
	if err != nil {
		return Answer{}, model.Refuse(model.CodeInvalid, "%v", err)
	}
	answer, err := invoker.Commit(ctx, t.end(ctx), callerapi.CommitParams{Transaction: t.id})
	return t.session.take(t.request, answer, err)
}

// end returns the message that ends the transaction.
func (t *Transaction) end(ctx context.Context) *callerapi.EndRequest {
	return &callerapi.EndRequest{
		Request:    string(t.request),
		Token:      optional(t.session.token),
		DeadlineMs: callerapi.NewOptInt64(left(ctx).Milliseconds()),
	}
}
