package peer

import (
	"errors"
	"net/http"
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/peerapi"
)

// carried maps the codes that peers exchange to the status of the answer; other codes travel as unavailable.
var carried = map[model.Code]int{
	model.CodeInvalid:          http.StatusBadRequest,
	model.CodeNotOwner:         http.StatusMisdirectedRequest,
	model.CodeUnknownDatabase:  http.StatusNotFound,
	model.CodeUnknownKind:      http.StatusNotFound,
	model.CodeOverloaded:       http.StatusTooManyRequests,
	model.CodeDeadline:         http.StatusGatewayTimeout,
	model.CodeUnavailable:      http.StatusServiceUnavailable,
	model.CodeLostWrite:        http.StatusConflict,
	model.CodeTransactionEnded: http.StatusGone,
	model.CodeOutcomeUnknown:   http.StatusBadGateway,
	model.CodeNotFound:         http.StatusNotFound,
	model.CodeStopping:         http.StatusServiceUnavailable,
	model.CodeInternal:         http.StatusInternalServerError,
}

// encodeRefusal translates an error into the message of a refusal.
func encodeRefusal(err error) *peerapi.RefusalStatusCode {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		refusal = &model.Refusal{Code: model.CodeInternal, Message: err.Error()}
	}
	code := refusal.Code
	status, found := carried[code]
	if !found {
		code = model.CodeUnavailable
		status = http.StatusServiceUnavailable
	}
	message := peerapi.Refusal{
		Code:    peerapi.RefusalCode(code),
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
	return &peerapi.RefusalStatusCode{StatusCode: status, Response: message}
}

// decodeError translates an error of a call into a refusal; without an answer the outcome is unknown.
func decodeError(err error) error {
	var answer *peerapi.RefusalStatusCode
	if !errors.As(err, &answer) {
		return model.Doubt("peer did not answer: %v", err)
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
