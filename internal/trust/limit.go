package trust

import (
	"net/http"
	"time"
)

// The limits on requests.
const (
	// MaxHeader is the largest header of a request in bytes.
	MaxHeader = 16 << 10
	// MaxBody is the largest body of a request of callers and peers in bytes.
	MaxBody = 1 << 20
	// headerTimeout is the time a client has to send its header.
	headerTimeout = 5 * time.Second
	// bodyTimeout is the time a client has to send its whole request.
	bodyTimeout = 15 * time.Second
	// idleTimeout is the time a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
)

// NewServer returns an HTTP server that large or slow clients can't hold up.
func NewServer(handler http.Handler, maxBody int64) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(handler, maxBody),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeader,
	}
}
