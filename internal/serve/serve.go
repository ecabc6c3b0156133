package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwingspread/internal/limit"
	"redwingspread/internal/model"
)

// The limits against slow clients.
const (
	headerLimit     = 5 * time.Second
	readLimit       = 30 * time.Second
	idleLimit       = 2 * time.Minute
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
	// DrainLimit is the time that requests in progress have to end.
	DrainLimit time.Duration
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

// server returns the HTTP server, which large or slow requests can't hold up.
func (s *Server) server() *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(s.Handler, s.BodyLimit),
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       readLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerSizeLimit,
	}
}

// Run serves until the context ends, lets requests in progress end and reports its own end on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	server := s.server()
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.listener) }()
	select {
	case err := <-served:
		done <- err
		return
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainLimit)
	defer cancel()
	err := server.Shutdown(drain)
	err = errors.Join(err, server.Close())
	<-served
	done <- err
}
