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

// refusalStatuses maps a refusal's code to the code and the HTTP status of this interface.
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

// NewError translates an error into the interface's refusal.
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

// refusalMessage translates a refusal.
func refusalMessage(refusal *model.Refusal) *operatorapi.RefusalStatusCode {
	answer, known := refusalStatuses[refusal.Code]
	if !known {
		answer.code, answer.status = operatorapi.RefusalCodeInternal, http.StatusInternalServerError
	}
	return &operatorapi.RefusalStatusCode{
		StatusCode: answer.status,
		Response:   operatorapi.Refusal{Code: answer.code, Message: refusal.Message},
	}
}

// problemsMessage lists every problem of a document.
func problemsMessage(problems config.Problems) *operatorapi.RefusalStatusCode {
	made := refusalMessage(model.Refuse(model.CodeInvalid, "the configuration has %d problems", len(problems)))
	for _, problem := range problems {
		made.Response.Problems = append(made.Response.Problems, operatorapi.Problem{Path: problem.Path, Message: problem.String()})
	}
	return made
}

// conflictMessage tells which configuration won the race.
func conflictMessage(err error, conflict *ledger.Conflict) *operatorapi.RefusalStatusCode {
	made := refusalMessage(model.Refuse(model.CodeConflict, "%s", conflict.Error()))
	var race conflictWithCurrent
	if errors.As(err, &race) {
		made.Response.Current.SetTo(*race.current)
	}
	return made
}

// refuseRequest answers a request that could not be read.
func refuseRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	code := model.CodeInvalid
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		code = model.CodeTooLarge
	}
	if ogenerrors.ErrorCode(err) >= http.StatusInternalServerError {
		code = model.CodeInternal
	}
	writeRefusal(w, model.Refuse(code, "%v", err))
}

// writeRefusal writes a refusal as JSON.
func writeRefusal(w http.ResponseWriter, refusal *model.Refusal) {
	made := refusalMessage(refusal)
	text, err := made.Response.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if made.StatusCode == http.StatusUnauthorized {
		w.Header().Add("WWW-Authenticate", `Basic realm="redwingspread: any name, the token as password"`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(made.StatusCode)
	_, _ = w.Write(text) // the client may be gone
}
