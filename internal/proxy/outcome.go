package proxy

import (
	"context"

	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/session"
)

// RefusedError is a refusal with the session token that the caller is to send next.
type RefusedError struct {
	Cause error
	Token string
}

// Error returns the refusal's text.
func (r *RefusedError) Error() string {
	return r.Cause.Error()
}

// Unwrap returns the refusal.
func (r *RefusedError) Unwrap() error {
	return r.Cause
}

// commit commits a transaction; a lost answer is resolved by the request id.
func (p *Proxy) commit(ctx context.Context, work model.Work) (model.Result, error) {
	result, err := p.forward(ctx, work, owner.Service.Commit)
	if err == nil || model.NotRun(err) {
		return result, err
	}
	question := work
	question.Transaction = ""
	result, asked := p.forward(ctx, question, owner.Service.Outcome)
	switch {
	case asked == nil:
		return result, nil
	case model.CodeOf(asked) == model.CodeNotFound:
		return model.Result{}, model.Refuse(model.CodeTransactionEnded, "transaction %q ended without a commit", work.Transaction)
	default:
		return model.Result{}, err
	}
}

// resolvePending resolves the session's write of unknown outcome before other work of the session runs.
func (p *Proxy) resolvePending(ctx context.Context, token session.Token, work model.Work) (session.Token, error) {
	pending := token.Pending(work.Database)
	if pending == "" || pending == work.Request {
		return token, nil
	}
	question := work
	question.Request = pending
	question.Transaction = ""
	question.Statement = model.Statement{Access: model.Read}
	result, err := p.forward(ctx, question, owner.Service.Outcome)
	switch {
	case err == nil:
		return token.RaisePoint(work.Database, result.Point).ClearPending(work.Database), nil
	case model.CodeOf(err) == model.CodeNotFound:
		return token.ClearPending(work.Database), nil
	default:
		return token, model.Refuse(model.CodeUnavailable, "the outcome of the session's request %q is not known yet: %v", pending, err)
	}
}

// newAnswer answers with the session's token raised by the result, or with a refusal and what the session has to remember.
func (p *Proxy) newAnswer(token session.Token, work model.Work, result model.Result, err error, recorded bool) (Answer, error) {
	if err != nil {
		return Answer{}, p.addToken(token, work, err, recorded)
	}
	token = token.RaisePoint(work.Database, result.Point)
	if token.Pending(work.Database) == work.Request {
		token = token.ClearPending(work.Database)
	}
	text, err := p.Codec.Encode(token)
	if err != nil {
		return Answer{}, model.OutcomeUnknown("request %q ran, but its session token can't be written: %v", work.Request, err)
	}
	return Answer{Result: result, Token: text, Host: p.Host.ID}, nil
}

// addToken adds to a refusal the token that remembers a write of unknown outcome, or forgets a settled or lost one.
func (p *Proxy) addToken(token session.Token, work model.Work, err error, recorded bool) error {
	mine := token.Pending(work.Database) == work.Request
	switch {
	case !model.NotRun(err) && recorded:
		token = token.SetPending(work.Database, work.Request)
	case mine && model.CodeOf(err) == model.CodeNotFound:
		token = token.ClearPending(work.Database)
	case model.CodeOf(err) == model.CodeLostWrite:
		token = token.Forget(work.Database)
		token.Partial = true
	default:
		return err
	}
	text, encodeErr := p.Codec.Encode(token)
	if encodeErr != nil {
		return err
	}
	return &RefusedError{Cause: err, Token: text}
}
