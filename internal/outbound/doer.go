package outbound

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"redwingspread/internal/model"
)

// responseLimit is the maximum size of a response body in bytes.
const responseLimit = 16 << 20

// ErrNotSent marks a request of which no byte was sent.
var ErrNotSent = errors.New("request was not sent")

// Doer sends requests with the host header and marks the errors of requests that were never sent.
type Doer struct {
	// Host is the id of the calling host, sent in each request's header.
	Host model.HostID
	// HTTP sends the requests.
	HTTP *http.Client
}

// Do sends the request; its error wraps ErrNotSent when the request never got a connection.
func (d Doer) Do(request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.Header.Set(model.HostHeader, string(d.Host))
	response, err := d.HTTP.Do(request)
	if err != nil && !connected.Load() {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, responseLimit)
	return response, nil
}
