package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/callerapi"
)

// bodyLimit is the maximum size of a request body in bytes.
const bodyLimit = 1 << 20

// Handler returns the HTTP handler of the caller API.
func (p *Proxy) Handler() (http.Handler, error) {
	server, err := callerapi.NewServer(&handler{proxy: p}, callerapi.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	return http.MaxBytesHandler(server, bodyLimit), nil
}

// writeDecodeError writes the refusal of a request that could not be decoded.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	refusal := model.Refuse(model.CodeInvalid, "%v", err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal = model.Refuse(model.CodeTooLarge, "request is larger than %d bytes", tooLarge.Limit)
	}
	answer := encodeRefusal(refusal)
	body, err := json.Marshal(&answer.Response)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.StatusCode)
	w.Write(body)
}
