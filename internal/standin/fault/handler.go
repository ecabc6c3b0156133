package fault

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
)

// maxBodyBytes is the maximum size of a request body in bytes.
const maxBodyBytes = 8 << 20

// outageBody is a refusal that is valid in every API of the stand-ins.
const outageBody = `{"code":"unavailable","notRun":true,"message":"outage"}`

// Handler injects faults into the requests and responses of another handler.
type Handler struct {
	// Injector holds the active faults.
	Injector *Injector
	// Next handles the requests that are not dropped.
	Next http.Handler
	// RunOnce reports whether a request must not be duplicated; if nil, every request may be.
	RunOnce func(*http.Request) bool
}

// ServeHTTP handles a request subject to the active faults.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	h.blockIsolated(r)
	faults := h.Injector.Faults()
	clock.Pause(r.Context(), faults.SlowBy)
	if faults.Outage {
		writeOutage(w)
		return
	}
	response := h.forward(r, body)
	if h.drawDuplicate(r, faults) {
		h.forward(r, body)
	}
	h.respond(w, r, response)
}

// drawDuplicate decides at random whether the request is handled twice.
func (h *Handler) drawDuplicate(r *http.Request, faults Faults) bool {
	if h.RunOnce != nil && h.RunOnce(r) {
		return false
	}
	return h.Injector.draw(faults.DoubleRequests)
}

// forward passes a copy of the request to the next handler and returns its buffered response.
func (h *Handler) forward(r *http.Request, body []byte) *bufferedResponse {
	request := r.Clone(r.Context())
	request.Body = io.NopCloser(bytes.NewReader(body))
	response := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	h.Next.ServeHTTP(response, request)
	return response
}

// respond sends the response, or drops, delays or truncates it.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, response *bufferedResponse) {
	h.blockIsolated(r)
	faults := h.Injector.Faults()
	if h.Injector.draw(faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if h.Injector.draw(faults.LateAnswers) {
		clock.Pause(r.Context(), faults.LateBy)
	}
	truncate := h.Injector.draw(faults.CutAnswers)
	response.send(w, truncate)
}

// blockIsolated blocks a request of an isolated sender until the sender gives up or the faults change, then aborts it.
func (h *Handler) blockIsolated(r *http.Request) {
	faults, changed := h.Injector.Watch()
	if !faults.isolates(senderOf(r)) {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// senderOf returns the sender of a request: the instance that reads the log, or else a host.
func senderOf(r *http.Request) Sender {
	if instance := r.URL.Query().Get("instance"); instance != "" {
		return Sender(instance)
	}
	return Sender(r.Header.Get(model.HostHeader))
}

// writeOutage refuses a request that has had no effect.
func writeOutage(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, outageBody) // the client may have disconnected
}

// bufferedResponse is an http.ResponseWriter that buffers what a handler writes.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (b *bufferedResponse) Header() http.Header {
	return b.header
}

// WriteHeader stores the status.
func (b *bufferedResponse) WriteHeader(status int) {
	b.status = status
}

// Write appends to the body.
func (b *bufferedResponse) Write(part []byte) (int, error) {
	return b.body.Write(part)
}

// send writes the response. If it is truncated, only half of the body follows the full Content-Length.
func (b *bufferedResponse) send(w http.ResponseWriter, truncate bool) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	body := b.body.Bytes()
	if truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(body) // the client may have disconnected
	if truncate {
		panic(http.ErrAbortHandler)
	}
}
