package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"redwingspread/internal/limit"
	"redwingspread/internal/model"
)

// The limits that protect a server against slow or large requests.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	drainTimeout    = 5 * time.Second
	headerSizeLimit = 16 << 10 // bytes
	bodyLimit       = 1 << 20  // bytes
)

// Server is an HTTP server on one address.
type Server struct {
	// Address is the TCP address that the server listens on.
	Address model.Address
	// Handler handles the requests.
	Handler http.Handler
	// TLS is the server's TLS configuration; nil for plain HTTP.
	TLS *tls.Config
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	// OnConnectionError is called for failed connections, such as failed handshakes; it may be nil.
	OnConnectionError func(reason string)
	// DrainTimeout limits the wait for requests in progress at shutdown.
	DrainTimeout time.Duration
	// ConnectionLimit is the maximum number of open connections; zero for no limit. At the limit, the one that has been without a request
	// in progress longest gives way to a new one.
	ConnectionLimit int
	// Replaced counts the connections that were closed in favour of others; it may be nil.
	Replaced *atomic.Int64

	listener net.Listener
}

// New returns a server with the default body limit and drain timeout; other fields are set before Listen.
func New(address model.Address, handler http.Handler) *Server {
	return &Server{Address: address, Handler: handler, BodyLimit: bodyLimit, DrainTimeout: drainTimeout}
}

// Listen opens the server's socket, so that an address in use is reported before Run.
func (s *Server) Listen() (err error) {
	s.listener, err = net.Listen("tcp", string(s.Address))
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	if s.ConnectionLimit > 0 {
		limited := limit.NewRotatingListener(s.listener)
		limited.Limit = s.ConnectionLimit
		limited.Full = s.reportFull
		s.listener = limited
	}
	if s.TLS != nil {
		s.listener = tls.NewListener(s.listener, s.TLS)
	}
	return nil
}

// httpServer returns the underlying HTTP server with its limits on slow and large requests.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(limitAnswers(s.Handler), s.BodyLimit),
		ConnContext:       withConn,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSizeLimit,
		ErrorLog:          log.New(errorWriter{s.OnConnectionError}, "", 0),
	}
}

// reportFull reports a connection that was closed for lack of room.
func (s *Server) reportFull() {
	if s.Replaced != nil {
		s.Replaced.Add(1)
	}
	if s.OnConnectionError != nil {
		s.OnConnectionError("a connection was closed in favour of others, since there are as many as may be")
	}
}

// errorWriter passes each line that net/http logs to report, which may be nil.
type errorWriter struct {
	report func(reason string)
}

// Write reports one line.
func (r errorWriter) Write(line []byte) (int, error) {
	if r.report != nil {
		r.report(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// Run serves until the context ends, waits for requests in progress and sends its result on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	server := s.httpServer()
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.listener) }()
	select {
	case err := <-served:
		done <- err
		return
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTimeout)
	defer cancel()
	err := server.Shutdown(drainCtx)
	err = errors.Join(err, server.Close())
	<-served
	done <- err
}
