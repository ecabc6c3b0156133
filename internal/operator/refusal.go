package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/operatorapi"
)

// refusalStatuses maps the code of a refusal to the code and HTTP status of the operator API.
var refusalStatuses = map[model.Code]struct {
	code   operatorapi.RefusalCode
	status int
}{
	model.CodeInvalid:        {operatorapi.RefusalCodeInvalid, http.StatusBadRequest},
	model.CodeTooLarge:       {operatorapi.RefusalCodeTooLarge, http.StatusRequestEntityTooLarge},
	model.CodeUnauthorized:   {operatorapi.RefusalCodeUnauthorized, http.StatusUnauthorized},
	model.CodeForbidden:      {operatorapi.RefusalCodeForbidden, http.StatusForbidden},
	model.CodeNotFound:       {operatorapi.RefusalCodeNotFound, http.StatusNotFound},
	model.CodeConflict:       {operatorapi.RefusalCodeConflict, http.StatusConflict},
	model.CodeUnavailable:    {operatorapi.RefusalCodeUnavailable, http.StatusServiceUnavailable},
	model.CodeOutcomeUnknown: {operatorapi.RefusalCodeOutcomeUnknown, http.StatusGatewayTimeout},
}

// NewError converts an error into a refusal of the operator API.
func (s *Server) NewError(_ context.Context, err error) *operatorapi.RefusalStatusCode {
	var problems config.Problems
	var conflict *ledger.Conflict
	var refusal *model.Refusal
	switch {
	case errors.As(err, &problems):
		return problemsMessage(problems)
	case errors.As(err, &conflict):
		return conflictMessage(err, conflict)
	case errors.As(err, &refusal):
		return refusalMessage(refusal)
	default:
		return refusalMessage(model.Refuse(model.CodeUnavailable, "%v", err))
	}
}

// refusalMessage converts a refusal; an unknown code becomes an internal error.
func refusalMessage(refusal *model.Refusal) *operatorapi.RefusalStatusCode {
	entry, known := refusalStatuses[refusal.Code]
	if !known {
		entry.code, entry.status = operatorapi.RefusalCodeInternal, http.StatusInternalServerError
	}
	return &operatorapi.RefusalStatusCode{
		StatusCode: entry.status,
		Response:   operatorapi.Refusal{Code: entry.code, Message: refusal.Message},
	}
}

// problemsMessage returns a refusal with every problem of a document.
func problemsMessage(problems config.Problems) *operatorapi.RefusalStatusCode {
	message := refusalMessage(model.Refuse(model.CodeInvalid, "the configuration has %d problems", len(problems)))
	for _, problem := range problems {
		message.Response.Problems = append(message.Response.Problems, operatorapi.Problem{Path: problem.Path, Message: problem.String()})
	}
	return message
}

// conflictMessage returns a refusal with the current configuration, if it could be read.
func conflictMessage(err error, conflict *ledger.Conflict) *operatorapi.RefusalStatusCode {
	message := refusalMessage(model.Refuse(model.CodeConflict, "%s", conflict.Error()))
	var withCurrent conflictWithCurrent
	if errors.As(err, &withCurrent) {
		message.Response.Current.SetTo(*withCurrent.current)
	}
	return message
}

// refuseRequest responds to a request that could not be decoded.
func refuseRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	code := model.CodeInvalid
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = model.CodeTooLarge
	}
	if ogenerrors.ErrorCode(err) >= http.StatusInternalServerError {
		code = model.CodeInternal
	}
	writeRefusal(w, model.Refuse(code, "%v", err))
}

// writeRefusal writes a refusal as JSON.
func writeRefusal(w http.ResponseWriter, refusal *model.Refusal) {
	message := refusalMessage(refusal)
	text, err := message.Response.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if message.StatusCode == http.StatusUnauthorized {
		w.Header().Add("WWW-Authenticate", `Basic realm="redwingspread: any name, the token as password"`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(message.StatusCode)
	_, _ = w.Write(text) // the client may have disconnected
}
