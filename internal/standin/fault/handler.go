package fault

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
)

// maxBodyBytes is the size in bytes of the largest request that a stand-in takes.
const maxBodyBytes = 8 << 20

// outageBody is a refusal that every interface of the stand-ins understands.
const outageBody = `{"code":"unavailable","notRun":true,"message":"outage"}`

// Handler puts the faults in front of another handler.
type Handler struct {
	// Injector holds the faults.
	Injector *Injector
	// Next answers the requests that get through.
	Next http.Handler
	// RunOnce tells which requests are never doubled; nil means none.
	RunOnce func(*http.Request) bool
}

// ServeHTTP answers one request, or fails as the faults say.
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
	answer := h.forward(r, body)
	if h.duplicates(r, faults) {
		h.forward(r, body)
	}
	h.respond(w, r, answer)
}

// duplicates draws whether the request runs twice.
func (h *Handler) duplicates(r *http.Request, faults Faults) bool {
	if h.RunOnce != nil && h.RunOnce(r) {
		return false
	}
	return h.Injector.draw(faults.DoubleRequests)
}

// forward runs the request once and keeps its answer.
func (h *Handler) forward(r *http.Request, body []byte) *bufferedResponse {
	again := r.Clone(r.Context())
	again.Body = io.NopCloser(bytes.NewReader(body))
	kept := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	h.Next.ServeHTTP(kept, again)
	return kept
}

// respond sends the answer, or loses, delays or cuts it.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, kept *bufferedResponse) {
	h.blockIsolated(r)
	faults := h.Injector.Faults()
	if h.Injector.draw(faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if h.Injector.draw(faults.LateAnswers) {
		clock.Pause(r.Context(), faults.LateBy)
	}
	cut := h.Injector.draw(faults.CutAnswers)
	kept.send(w, cut)
}

// blockIsolated keeps a request of an isolated party without an answer until its sender gives up or the faults change.
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

// senderOf returns who sent the request: an instance that asks for the log, or a host.
func senderOf(r *http.Request) Sender {
	if instance := r.URL.Query().Get("instance"); instance != "" {
		return Sender(instance)
	}
	return Sender(r.Header.Get(model.HostHeader))
}

// writeOutage refuses a request before it has an effect.
func writeOutage(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, outageBody) // the asker may be gone
}

// bufferedResponse keeps what a handler wrote.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's headers.
func (a *bufferedResponse) Header() http.Header {
	return a.header
}

// WriteHeader keeps the status.
func (a *bufferedResponse) WriteHeader(status int) {
	a.status = status
}

// Write keeps a part of the body.
func (a *bufferedResponse) Write(part []byte) (int, error) {
	return a.body.Write(part)
}

// send writes the answer, or half of its body under the length of the whole.
func (a *bufferedResponse) send(w http.ResponseWriter, cut bool) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	body := a.body.Bytes()
	if cut {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(body) // the asker may be gone
	if cut {
		panic(http.ErrAbortHandler)
	}
}
