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
	"time"

	"redwingspread/internal/limit"
	"redwingspread/internal/model"
)

// The limits against slow clients.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	headerSizeLimit = 16 << 10 // bytes
	bodyLimit       = 1 << 20  // bytes
)

// Server is one HTTP server on one address.
type Server struct {
	// Address is where the server listens.
	Address model.Address
	// Handler answers the requests.
	Handler http.Handler
	// TLS, when set, is what the server shows and asks for.
	TLS *tls.Config
	// BodyLimit is the largest body of a request in bytes.
	BodyLimit int64
	// OnConnectionError is told of connections that failed, such as bad handshakes; it may be nil.
	OnConnectionError func(reason string)
	// DrainTimeout is the time that requests in progress have to end.
	DrainTimeout time.Duration
	// ConnectionLimit is the number of connections that may be open; zero for no limit.
	ConnectionLimit int

	listener net.Listener
}

// New returns a server whose exported fields are to be set before Run.
func New(address model.Address, handler http.Handler) *Server {
	return &Server{Address: address, Handler: handler, BodyLimit: bodyLimit}
}

// Listen opens the server's socket, so that a taken address is known before Run.
func (s *Server) Listen() (err error) {
	s.listener, err = net.Listen("tcp", string(s.Address))
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	if s.ConnectionLimit > 0 {
		limited := limit.NewListener(s.listener)
		limited.Limit = s.ConnectionLimit
		s.listener = limited
	}
	if s.TLS != nil {
		s.listener = tls.NewListener(s.listener, s.TLS)
	}
	return nil
}

// httpServer returns the HTTP server, which large or slow requests can't hold up.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(s.Handler, s.BodyLimit),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSizeLimit,
		ErrorLog:          log.New(errorWriter{s.OnConnectionError}, "", 0),
	}
}

// errorWriter hands each line of the library's log on.
type errorWriter struct {
	report func(reason string)
}

// Write takes one line.
func (r errorWriter) Write(line []byte) (int, error) {
	if r.report != nil {
		r.report(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// Run serves until the context ends, lets requests in progress end and reports its own end on done.
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
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTimeout)
	defer cancel()
	err := server.Shutdown(drain)
	err = errors.Join(err, server.Close())
	<-served
	done <- err
}
