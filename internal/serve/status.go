package serve

import (
	"net/http"

	"redwingspread/internal/model"
)

// statuses maps refusal codes to HTTP statuses.
var statuses = map[model.Code]int{
	model.CodeInvalid:          http.StatusBadRequest,
	model.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	model.CodeUnauthorized:     http.StatusUnauthorized,
	model.CodeForbidden:        http.StatusForbidden,
	model.CodeUnknownDatabase:  http.StatusNotFound,
	model.CodeUnknownKind:      http.StatusNotFound,
	model.CodeNotFound:         http.StatusNotFound,
	model.CodeBadToken:         http.StatusBadRequest,
	model.CodeNotOwner:         http.StatusMisdirectedRequest,
	model.CodeOverloaded:       http.StatusTooManyRequests,
	model.CodeDeadline:         http.StatusGatewayTimeout,
	model.CodeUnavailable:      http.StatusServiceUnavailable,
	model.CodeStopping:         http.StatusServiceUnavailable,
	model.CodeLostWrite:        http.StatusConflict,
	model.CodeTransactionEnded: http.StatusGone,
	model.CodeOutcomeUnknown:   http.StatusBadGateway,
	model.CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of a refusal code, 503 for a code without one.
func Status(code model.Code) int {
	if status, found := statuses[code]; found {
		return status
	}
	return http.StatusServiceUnavailable
}
