package peer

import (
	"errors"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/serve"
	"redwingspread/pkg/api/peerapi"
)

// encodeRefusal translates an error into a refusal message; codes that peers do not exchange become unavailable.
func encodeRefusal(err error) *peerapi.RefusalStatusCode {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		refusal = &model.Refusal{Code: model.CodeInternal, Message: err.Error()}
	}
	code := peerapi.RefusalCode(refusal.Code)
	if code.Validate() != nil {
		code = peerapi.RefusalCodeUnavailable
	}
	message := peerapi.Refusal{
		Code:    code,
		NotRun:  refusal.NotRun,
		Message: refusal.Message,
	}
	if refusal.RetryAfter > 0 {
		message.RetryAfterMs = peerapi.NewOptInt64(refusal.RetryAfter.Milliseconds())
	}
	if refusal.Owner != "" {
		message.Owner = peerapi.NewOptString(string(refusal.Owner))
	}
	if refusal.Term > 0 {
		message.Term = peerapi.NewOptUint64(uint64(refusal.Term))
	}
	return &peerapi.RefusalStatusCode{StatusCode: serve.Status(model.Code(code)), Response: message}
}

// decodeError translates the error of a sent call into a refusal; without an answer the outcome is unknown.
func decodeError(err error) error {
	var answer *peerapi.RefusalStatusCode
	if !errors.As(err, &answer) {
		return model.OutcomeUnknown("peer did not answer: %v", err)
	}
	return &model.Refusal{
		Code:       model.Code(answer.Response.Code),
		NotRun:     answer.Response.NotRun,
		Message:    answer.Response.Message,
		RetryAfter: time.Duration(answer.Response.RetryAfterMs.Or(0)) * time.Millisecond,
		Owner:      model.HostID(answer.Response.Owner.Or("")),
		Term:       model.Term(answer.Response.Term.Or(0)),
	}
}
