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

// Network is an in-memory network: an http.RoundTripper that calls handlers of this process by address.
type Network struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
}

// errAborted is returned if a handler aborts before it sends a response.
var errAborted = errors.New("connection aborted")

// NewNetwork returns a network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: map[string]http.Handler{}}
}

// SetHandler makes a handler serve an address. With a nil handler, the address refuses connections.
func (n *Network) SetHandler(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// handler returns the handler of an address, or nil.
func (n *Network) handler(address string) http.Handler {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.handlers[address]
}

// RoundTrip calls the handler and returns its response, or an error if it aborts or the request's context ends.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := n.handler(r.URL.Host)
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.New("connection refused")}
	}
	trace := httptrace.ContextClientTrace(r.Context())
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	responses := make(chan *bufferedResponse, 1)
	go func() { responses <- call(handler, r) }()
	select {
	case buffered := <-responses:
		return buffered.response(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// call runs a handler and buffers its response.
func call(handler http.Handler, r *http.Request) (response *bufferedResponse) {
	response = &bufferedResponse{header: http.Header{}}
	defer func() {
		if recover() != nil {
			response.aborted = true
		}
	}()
	request := r.Clone(r.Context())
	if request.Body == nil {
		request.Body = http.NoBody
	}
	handler.ServeHTTP(response, request)
	return response
}

// bufferedResponse is an http.ResponseWriter that buffers what a handler writes.
type bufferedResponse struct {
	header  http.Header
	status  int // 0 until the handler writes
	body    bytes.Buffer
	aborted bool // whether the handler panicked
}

// Header returns the header of the response.
func (b *bufferedResponse) Header() http.Header {
	return b.header
}

// WriteHeader stores the first status.
func (b *bufferedResponse) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write appends to the body.
func (b *bufferedResponse) Write(part []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(part)
}

// response returns the response. If its handler aborted after writing, reading the body fails at the end.
func (b *bufferedResponse) response(r *http.Request) (*http.Response, error) {
	if b.status == 0 && b.aborted {
		return nil, errAborted
	}
	var body io.Reader = &b.body
	length := int64(b.body.Len())
	if b.aborted {
		body = io.MultiReader(&b.body, brokenReader{})
		length, _ = strconv.ParseInt(b.header.Get("Content-Length"), 10, 64)
	}
	return &http.Response{
		StatusCode:    max(b.status, http.StatusOK),
		Header:        b.header,
		Body:          io.NopCloser(body),
		ContentLength: length,
		Request:       r,
	}, nil
}

// brokenReader is the end of a truncated body.
type brokenReader struct{}

// Read fails with io.ErrUnexpectedEOF.
func (brokenReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}
