package model

import (
	"errors"
	"fmt"
	"time"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes.
const (
	CodeInvalid           Code = "invalid"
	CodeTooLarge          Code = "too_large"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeUnknownDatabase   Code = "unknown_database"
	CodeUnknownKind       Code = "unknown_kind"
	CodeBadToken          Code = "bad_token"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline"
	CodeUnavailable       Code = "unavailable"
	CodeLostWrite         Code = "lost_write"
	CodeTransactionEnded  Code = "transaction_ended"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeNotFound          Code = "not_found"
	CodeNotOwner          Code = "not_owner"
	CodeStopping          Code = "stopping"
	CodeInternal          Code = "internal"
	CodeWrongTerm         Code = "wrong_term"
	CodeBehind            Code = "behind"
	CodeSlotsFull         Code = "slots_full"
	CodeConnectionsFull   Code = "connections_full"
	CodeNotPrimary        Code = "not_primary"
	CodeUnknownConnection Code = "unknown_connection"
	CodeNoTransaction     Code = "no_transaction"
	CodeTransactionOpen   Code = "transaction_open"
	CodeLeaving           Code = "leaving"
	CodeUnknownOperation  Code = "unknown_operation"
	CodeConflict          Code = "conflict"
	CodeFailed            Code = "failed"
	CodeTimeout           Code = "timeout"
	CodeNoStatement       Code = "no_statement"
	CodeWrongInstance     Code = "wrong_instance"
	CodeAllowance         Code = "allowance"
)

// Refusal is the error of a request that did not run or whose outcome is unknown.
type Refusal struct {
	Code       Code
	NotRun     bool // the request certainly had no effect
	Message    string
	RetryAfter time.Duration  // time that the caller should wait before a retry; zero if none is advised
	Owner      HostID         // set with CodeNotOwner
	Term       Term           // set with CodeNotOwner and CodeWrongTerm
	State      *InstanceState // state of the endpoint that refused; otherwise nil
}

// Error returns the code, the outcome and the message.
func (r *Refusal) Error() string {
	if r.NotRun {
		return fmt.Sprintf("%s: not run: %s", r.Code, r.Message)
	}
	return fmt.Sprintf("%s: outcome unknown: %s", r.Code, r.Message)
}

// Refuse returns a refusal of a request that certainly had no effect.
func Refuse(code Code, format string, arguments ...any) *Refusal {
	return &Refusal{Code: code, NotRun: true, Message: fmt.Sprintf(format, arguments...)}
}

// OutcomeUnknown returns a refusal of a request whose outcome is unknown.
func OutcomeUnknown(format string, arguments ...any) *Refusal {
	return &Refusal{Code: CodeOutcomeUnknown, Message: fmt.Sprintf(format, arguments...)}
}

// NotRun reports whether the error is a refusal of a request that certainly had no effect.
func NotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.NotRun
}

// CodeOf returns the code of a refusal, or an empty code for any other error.
func CodeOf(err error) Code {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}
