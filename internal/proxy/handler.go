package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/serve"
	"redwingspread/pkg/api/callerapi"
)

// handler implements the generated server interface of the caller API.
type handler struct {
	proxy *Proxy
}

// Execute runs one statement.
func (h *handler) Execute(ctx context.Context, message *callerapi.StatementRequest) (*callerapi.Answer, error) {
	request := Request{
		ID:          model.RequestID(message.Request),
		Database:    model.DatabaseID(message.Database),
		Kind:        model.KindID(message.Kind),
		Operation:   message.Operation,
		Arguments:   message.Arguments,
		Token:       message.Token.Or(""),
		Transaction: model.TransactionID(message.Transaction.Or("")),
		Timeout:     milliseconds(message.DeadlineMs),
	}
	if age, set := message.MaxAgeMs.Get(); set {
		maxAge := model.Age(time.Duration(age) * time.Millisecond)
		request.MaxAge = &maxAge
	}
	answer, err := h.proxy.Execute(ctx, request)
	return encodeAnswer(answer, err)
}

// Begin begins a transaction.
func (h *handler) Begin(ctx context.Context, message *callerapi.BeginRequest) (*callerapi.Transaction, error) {
	answer, err := h.proxy.Begin(ctx, Request{
		ID:       model.RequestID(message.Request),
		Database: model.DatabaseID(message.Database),
		Kind:     model.KindID(message.Kind),
		Token:    message.Token.Or(""),
		Timeout:  milliseconds(message.DeadlineMs),
	})
	if err != nil {
		return nil, err
	}
	return &callerapi.Transaction{Transaction: string(answer.Result.Transaction), Token: answer.Token}, nil
}

// Commit commits a transaction.
func (h *handler) Commit(ctx context.Context, message *callerapi.EndRequest, params callerapi.CommitParams) (*callerapi.Answer, error) {
	answer, err := h.proxy.Commit(ctx, endRequest(message, params.Transaction))
	return encodeAnswer(answer, err)
}

// Rollback rolls a transaction back.
func (h *handler) Rollback(ctx context.Context, message *callerapi.EndRequest, params callerapi.RollbackParams) error {
	return h.proxy.Rollback(ctx, endRequest(message, params.Transaction))
}

// GetOutcome resolves the outcome of a request.
func (h *handler) GetOutcome(ctx context.Context, params callerapi.GetOutcomeParams) (*callerapi.Answer, error) {
	answer, err := h.proxy.Outcome(ctx, Request{
		ID:       model.RequestID(params.Request),
		Database: model.DatabaseID(params.Database),
		Token:    params.Token.Or(""),
	})
	return encodeAnswer(answer, err)
}

// GetHealth reports whether this host accepts new work.
func (h *handler) GetHealth(context.Context) (*callerapi.Health, error) {
	currentView := h.proxy.View()
	ready := !currentView.Stopping && currentView.Policy.Ready() && len(currentView.Databases) > 0
	return &callerapi.Health{Host: string(h.proxy.Host.ID), Ready: ready}, nil
}

// NewError translates an error into a refusal message.
func (h *handler) NewError(_ context.Context, err error) *callerapi.RefusalStatusCode {
	return encodeRefusal(err)
}

// WriteRefusal writes a refusal in the form of the caller API, for requests that are rejected before they reach its handler.
func WriteRefusal(w http.ResponseWriter, refusal *model.Refusal) {
	message := encodeRefusal(refusal)
	body, err := message.Response.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(message.StatusCode)
	_, _ = w.Write(body) // the caller may have disconnected
}

// endRequest translates a message into the request that ends a transaction.
func endRequest(message *callerapi.EndRequest, transaction string) Request {
	return Request{
		ID:          model.RequestID(message.Request),
		Token:       message.Token.Or(""),
		Transaction: model.TransactionID(transaction),
		Timeout:     milliseconds(message.DeadlineMs),
	}
}

// encodeAnswer translates an answer into a message.
func encodeAnswer(answer Answer, err error) (*callerapi.Answer, error) {
	if err != nil {
		return nil, err
	}
	result := answer.Result
	message := &callerapi.Answer{
		Request:    string(result.Request),
		Outcome:    callerapi.AnswerOutcomeDone,
		Rows:       make([]callerapi.AnswerRowsItem, 0, len(result.Rows)),
		Token:      answer.Token,
		Instance:   string(result.Instance),
		Role:       callerapi.AnswerRole(result.Role),
		Host:       string(answer.Host),
		Durability: callerapi.AnswerDurability(result.Durability),
		Repeated:   callerapi.NewOptBool(result.Repeated),
	}
	if !result.Succeeded {
		message.Outcome = callerapi.AnswerOutcomeFailed
		message.Reason = callerapi.NewOptString(result.FailureReason)
	}
	for _, row := range result.Rows {
		message.Rows = append(message.Rows, callerapi.AnswerRowsItem(row))
	}
	return message, nil
}

// encodeRefusal translates an error into a refusal message; codes that callers do not know become unavailable.
func encodeRefusal(err error) *callerapi.RefusalStatusCode {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		refusal = &model.Refusal{Code: model.CodeInternal, Message: err.Error()}
	}
	code := callerapi.RefusalCode(refusal.Code)
	if code.Validate() != nil {
		code = callerapi.RefusalCodeUnavailable
	}
	message := callerapi.Refusal{
		Code:    code,
		Outcome: callerapi.RefusalOutcomeUnknown,
		Message: refusal.Message,
	}
	if refusal.NotRun {
		message.Outcome = callerapi.RefusalOutcomeNotRun
	}
	if refusal.RetryAfter > 0 {
		message.RetryAfterMs = callerapi.NewOptInt64(refusal.RetryAfter.Milliseconds())
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		message.Token = callerapi.NewOptString(refused.Token)
	}
	return &callerapi.RefusalStatusCode{StatusCode: serve.Status(model.Code(code)), Response: message}
}

// milliseconds returns an optional number of milliseconds as a duration, or zero when it is not set.
func milliseconds(value callerapi.OptInt64) time.Duration {
	return time.Duration(value.Or(0)) * time.Millisecond
}
