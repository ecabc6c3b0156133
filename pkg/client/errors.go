package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/callerapi"
)

// Error is the error of a request that did not run, or whose outcome is unknown.
type Error struct {
	Request    RequestID
	Code       Code
	NotRun     bool // true when the request certainly had no effect
	Message    string
	RetryAfter time.Duration // time after which a repeat may be served
}

// Error returns the code, the outcome and the message.
func (e *Error) Error() string {
	outcome := "outcome unknown"
	if e.NotRun {
		outcome = "not run"
	}
	return fmt.Sprintf("request %s: %s: %s: %s", e.Request, e.Code, outcome, e.Message)
}

// newError returns the refusal of a request as the error that callers see.
func newError(request RequestID, refusal *model.Refusal) *Error {
	return &Error{
		Request:    request,
		Code:       refusal.Code,
		NotRun:     refusal.NotRun,
		Message:    refusal.Message,
		RetryAfter: refusal.RetryAfter,
	}
}

// refusalFromError tells from the error of a call whether the request ran.
func refusalFromError(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var refused *callerapi.RefusalStatusCode
	if errors.As(err, &refused) {
		return decodeRefusal(refused.Response)
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return model.Refuse(model.CodeUnavailable, "no host answers: %v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return model.OutcomeUnknown("no answer in time: %v", err)
	}
	return model.OutcomeUnknown("no whole answer: %v", err)
}

// decodeRefusal returns a host's refusal.
func decodeRefusal(refusal callerapi.Refusal) *model.Refusal {
	return &model.Refusal{
		Code:       Code(refusal.Code),
		NotRun:     refusal.Outcome == callerapi.RefusalOutcomeNotRun,
		Message:    refusal.Message,
		RetryAfter: time.Duration(refusal.RetryAfterMs.Or(0)) * time.Millisecond,
	}
}
