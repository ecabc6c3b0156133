package retry

import (
	"errors"
	"time"

	"redwingspread/internal/model"
)

// Allowed reports whether a request that ended with the error may be retried within the time left; repeatable requests may run
// more than once.
func Allowed(err error, access model.Access, repeatable bool, left time.Duration) bool {
	if err == nil || left <= 0 {
		return false
	}
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		return access == model.Read || repeatable
	}
	if left <= refusal.RetryAfter {
		return false
	}
	if !refusal.NotRun {
		return refusal.Code != model.CodeTransactionEnded && (access == model.Read || repeatable)
	}
	return transient(refusal.Code)
}

// transient reports whether the cause of a refusal may be gone on the next attempt.
func transient(code model.Code) bool {
	switch code {
	case model.CodeUnavailable, model.CodeOverloaded, model.CodeStopping, model.CodeNotOwner,
		model.CodeWrongTerm, model.CodeNotPrimary, model.CodeBehind, model.CodeSlotsFull,
		model.CodeConnectionsFull, model.CodeUnknownConnection, model.CodeLeaving:
		return true
	}
	return false
}

// LacksRoom reports whether a refusal says that an instance, or a host that keeps connections to it, has no slot or connection free, so
// that each further attempt adds to its load.
func LacksRoom(code model.Code) bool {
	switch code {
	case model.CodeOverloaded, model.CodeSlotsFull, model.CodeConnectionsFull:
		return true
	}
	return false
}
