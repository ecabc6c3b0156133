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

// headerTimeout is the time that a request's header may take.
const headerTimeout = 5 * time.Second

// badRequest is the answer to a request that does not follow the schema.
type badRequest struct {
	Code    model.Code `json:"code"`
	NotRun  bool       `json:"notRun"`
	Message string     `json:"message"`
}

// WriteInvalid refuses a request that does not follow the schema.
func WriteInvalid(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(badRequest{Code: model.CodeInvalid, NotRun: true, Message: err.Error()}) // the asker may be gone
}

// Serve answers on the listener until the context ends, as a crash would end it, and reports its own end on done.
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
