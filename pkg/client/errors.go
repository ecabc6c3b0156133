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

// Error is the error of a request that did not run or whose outcome is unknown.
type Error struct {
	Request    RequestID
	Code       Code
	NotRun     bool // the request certainly had no effect; if false, the outcome is unknown
	Message    string
	RetryAfter time.Duration // time to wait before a retry; zero if the host advised none
}

// Error returns the request id, the code, the outcome and the message.
func (e *Error) Error() string {
	outcome := "outcome unknown"
	if e.NotRun {
		outcome = "not run"
	}
	return fmt.Sprintf("request %s: %s: %s: %s", e.Request, e.Code, outcome, e.Message)
}

// newError converts the refusal of a request into the library's error.
func newError(request RequestID, refusal *model.Refusal) *Error {
	return &Error{
		Request:    request,
		Code:       refusal.Code,
		NotRun:     refusal.NotRun,
		Message:    refusal.Message,
		RetryAfter: refusal.RetryAfter,
	}
}

// refusalFromError converts the error of an attempt into a refusal, which tells whether the request may have run.
func refusalFromError(err error) *model.Refusal {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var response *callerapi.RefusalStatusCode
	if errors.As(err, &response) {
		return decodeRefusal(response.Response)
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return model.Refuse(model.CodeUnavailable, "no host answers: %v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return model.OutcomeUnknown("no answer in time: %v", err)
	}
	return model.OutcomeUnknown("no whole answer: %v", err)
}

// decodeRefusal converts a refusal from a host.
func decodeRefusal(refusal callerapi.Refusal) *model.Refusal {
	return &model.Refusal{
		Code:       Code(refusal.Code),
		NotRun:     refusal.Outcome == callerapi.RefusalOutcomeNotRun,
		Message:    refusal.Message,
		RetryAfter: time.Duration(refusal.RetryAfterMs.Or(0)) * time.Millisecond,
	}
}
