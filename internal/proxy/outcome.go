package proxy

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/session"
)

// RefusedError is a refusal with the session token that the caller should send with its next request.
type RefusedError struct {
	Cause error
	Token string
}

// Error returns the text of the refusal.
func (r *RefusedError) Error() string {
	return r.Cause.Error()
}

// Unwrap returns the refusal.
func (r *RefusedError) Unwrap() error {
	return r.Cause
}

// commit commits a transaction; when the answer is lost, it looks the outcome up by the request id.
func (p *Proxy) commit(ctx context.Context, work model.Work) (model.Result, error) {
	result, err := p.forward(ctx, work, owner.Service.Commit)
	if err == nil || model.NotRun(err) {
		return result, err
	}
	query := work
	query.Transaction = ""
	result, queryErr := p.forward(ctx, query, owner.Service.Outcome)
	switch {
	case queryErr == nil:
		return result, nil
	case model.CodeOf(queryErr) == model.CodeNotFound:
		return model.Result{}, model.Refuse(model.CodeTransactionEnded, "transaction %q ended without a commit", work.Transaction)
	default:
		return model.Result{}, err
	}
}

// resolvePending looks up the outcome of the session's pending write before other work of the session runs.
func (p *Proxy) resolvePending(ctx context.Context, token session.Token, work model.Work) (session.Token, error) {
	pending := token.Pending(work.Database)
	if pending == "" || pending == work.Request {
		return token, nil
	}
	query := work
	query.Request = pending
	query.Transaction = ""
	query.Statement = model.Statement{Access: model.Read}
	result, err := p.forward(ctx, query, owner.Service.Outcome)
	switch {
	case err == nil:
		return token.RaisePoint(work.Database, result.Point).ClearPending(work.Database), nil
	case model.CodeOf(err) == model.CodeNotFound:
		return token.ClearPending(work.Database), nil
	default:
		return token, model.Refuse(model.CodeUnavailable, "the outcome of the session's request %q is not known yet: %v", pending, err)
	}
}

// newAnswer returns the answer with a session token that covers the result's point, or a refusal with the token to send next.
// recorded says that the endpoint records the work's outcome, so that it can be looked up later.
func (p *Proxy) newAnswer(token session.Token, work model.Work, result model.Result, err error, recorded bool) (Answer, error) {
	if err != nil {
		return Answer{}, p.addToken(token, work, err, recorded)
	}
	token = token.RaisePoint(work.Database, result.Point)
	if token.Pending(work.Database) == work.Request {
		token = token.ClearPending(work.Database)
	}
	encoded, err := p.Codec.Encode(token)
	if err != nil {
		return Answer{}, model.OutcomeUnknown("request %q ran, but its session token can't be written: %v", work.Request, err)
	}
	return Answer{Result: result, Token: encoded, Host: p.Host.ID}, nil
}

// addToken adds a changed session token to a refusal: it marks a write of unknown outcome as pending, or drops a write that never ran or was lost.
func (p *Proxy) addToken(token session.Token, work model.Work, err error, recorded bool) error {
	pending := token.Pending(work.Database) == work.Request
	switch {
	case !model.NotRun(err) && recorded:
		token = token.SetPending(work.Database, work.Request)
	case pending && model.CodeOf(err) == model.CodeNotFound:
		token = token.ClearPending(work.Database)
	case model.CodeOf(err) == model.CodeLostWrite:
		token = token.Forget(work.Database)
		token.Partial = true
	default:
		return err
	}
	encoded, encodeErr := p.Codec.Encode(token)
	if encodeErr != nil {
		return err
	}
	return &RefusedError{Cause: err, Token: encoded}
}
