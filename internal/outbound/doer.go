package outbound

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"redwingspread/internal/model"
)

// responseLimit is the size in bytes of the largest answer that is read.
const responseLimit = 16 << 20

// ErrNotSent marks a request of which no byte left this process.
var ErrNotSent = errors.New("request was not sent")

// Doer sends requests in a host's name and marks the errors of requests that were never sent.
type Doer struct {
	// Host is named in each request's header.
	Host model.HostID
	// HTTP sends the requests.
	HTTP *http.Client
}

// Do sends the request; its error is ErrNotSent when no connection was ever used for it.
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
