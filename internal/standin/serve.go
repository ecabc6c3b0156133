package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwingspread/internal/model"
)

// headerTimeout is the maximum time for reading the header of a request.
const headerTimeout = 5 * time.Second

// badRequest is the response to a request that violates the schema.
type badRequest struct {
	Code    model.Code `json:"code"`
	NotRun  bool       `json:"notRun"`
	Message string     `json:"message"`
}

// WriteInvalid refuses a request that violates the schema.
func WriteInvalid(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(badRequest{Code: model.CodeInvalid, NotRun: true, Message: err.Error()}) // the client may have disconnected
}

// Serve serves requests on the listener until the context ends, then sends the result on done. It closes open connections
// without waiting for requests to finish, as a crash would.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, done chan<- error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		done <- fmt.Errorf("serve %s: %w", listener.Addr(), err)
		return
	case <-ctx.Done():
	}
	server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		done <- err
		return
	}
	done <- nil
}
