package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
)

// Network is an http.RoundTripper that calls handlers of this process by their address.
type Network struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
}

// errAborted is the end of a connection whose handler gave no whole answer.
var errAborted = errors.New("connection aborted")

// NewNetwork returns a network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}}
}

// Set makes a handler answer on an address; a nil handler refuses connections.
func (n *Network) Set(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// handler returns what answers on an address.
func (n *Network) handler(address string) http.Handler {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.handlers[address]
}

// RoundTrip calls the handler and returns its answer, or an error when it aborts or the request's context ends.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := n.handler(r.URL.Host)
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")}
	}
	trace := httptrace.ContextClientTrace(r.Context())
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answers := make(chan *bufferedResponse, 1)
	go func() { answers <- call(handler, r) }()
	select {
	case answer := <-answers:
		return answer.response(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// call runs a handler and keeps its answer.
func call(handler http.Handler, r *http.Request) (answer *bufferedResponse) {
	answer = &bufferedResponse{header: http.Header{}}
	defer func() {
		if recover() != nil {
			answer.aborted = true
		}
	}()
	served := r.Clone(r.Context())
	if served.Body == nil {
		served.Body = http.NoBody
	}
	handler.ServeHTTP(answer, served)
	return answer
}

// bufferedResponse keeps what a handler wrote.
type bufferedResponse struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	aborted bool
}

// Header returns the answer's headers.
func (a *bufferedResponse) Header() http.Header {
	return a.header
}

// WriteHeader keeps the status.
func (a *bufferedResponse) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write keeps a part of the body.
func (a *bufferedResponse) Write(part []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(part)
}

// response returns the answer, with a broken body when its handler aborted in the middle.
func (a *bufferedResponse) response(r *http.Request) (*http.Response, error) {
	if a.status == 0 && a.aborted {
		return nil, errAborted
	}
	var body io.Reader = &a.body
	length := int64(a.body.Len())
	if a.aborted {
		body = io.MultiReader(&a.body, brokenReader{})
		length, _ = strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	}
	return &http.Response{
		StatusCode:    max(a.status, http.StatusOK),
		Header:        a.header,
		Body:          io.NopCloser(body),
		ContentLength: length,
		Request:       r,
	}, nil
}

// brokenReader is the end of a body that was cut short.
type brokenReader struct{}

// Read fails.
func (brokenReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}
