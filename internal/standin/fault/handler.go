package fault

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
)

// bodyLimit is the size in bytes of the largest request that a stand-in takes.
const bodyLimit = 8 << 20

// outageAnswer is a refusal that every interface of the stand-ins understands.
const outageAnswer = `{"code":"unavailable","notRun":true,"message":"outage"}`

// Handler puts the faults in front of another handler.
type Handler struct {
	// Injector holds the faults.
	Injector *Injector
	// Next answers the requests that get through.
	Next http.Handler
	// Single tells which requests are never doubled; nil means none.
	Single func(*http.Request) bool
}

// ServeHTTP answers one request, or fails as the faults say.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	h.holdIsolated(r)
	faults := h.Injector.Faults()
	clock.Pause(r.Context(), faults.Slow)
	if faults.Outage {
		writeOutage(w)
		return
	}
	answer := h.run(r, body)
	if h.doubles(r, faults) {
		h.run(r, body)
	}
	h.deliver(w, r, answer)
}

// doubles draws whether the request runs twice.
func (h *Handler) doubles(r *http.Request, faults Faults) bool {
	if h.Single != nil && h.Single(r) {
		return false
	}
	return h.Injector.draw(faults.DoubleRequests)
}

// run runs the request once and keeps its answer.
func (h *Handler) run(r *http.Request, body []byte) *answer {
	again := r.Clone(r.Context())
	again.Body = io.NopCloser(bytes.NewReader(body))
	kept := &answer{header: http.Header{}, status: http.StatusOK}
	h.Next.ServeHTTP(kept, again)
	return kept
}

// deliver sends the answer, or loses, delays or cuts it.
func (h *Handler) deliver(w http.ResponseWriter, r *http.Request, kept *answer) {
	h.holdIsolated(r)
	faults := h.Injector.Faults()
	if h.Injector.draw(faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if h.Injector.draw(faults.LateAnswers) {
		clock.Pause(r.Context(), faults.Late)
	}
	cut := h.Injector.draw(faults.CutAnswers)
	kept.send(w, cut)
}

// holdIsolated keeps a request of an isolated party without an answer until its sender gives up or the faults change.
func (h *Handler) holdIsolated(r *http.Request) {
	faults, changed := h.Injector.Watch()
	if !faults.isolates(party(r)) {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// party returns who sent the request: an instance that asks for the log, or a host.
func party(r *http.Request) Party {
	if instance := r.URL.Query().Get("instance"); instance != "" {
		return Party(instance)
	}
	return Party(r.Header.Get(model.HostHeader))
}

// writeOutage refuses a request before it has an effect.
func writeOutage(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, outageAnswer) // the asker may be gone
}

// answer keeps what a handler wrote.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's headers.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader keeps the status.
func (a *answer) WriteHeader(status int) {
	a.status = status
}

// Write keeps a part of the body.
func (a *answer) Write(part []byte) (int, error) {
	return a.body.Write(part)
}

// send writes the answer, or half of its body under the length of the whole.
func (a *answer) send(w http.ResponseWriter, cut bool) {
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
