package serve

import (
	"context"
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
)

// Server is one HTTP server on one address.
type Server struct {
	// Address is where the server listens.
	Address model.Address
	// Handler answers the requests.
	Handler http.Handler
	// DrainLimit is the time that requests in progress have to end.
	DrainLimit time.Duration
	// ConnectionLimit is the number of connections that may be open; zero for no limit.
	ConnectionLimit int

	listener net.Listener
}

// New returns a server whose exported fields are to be set before Run.
func New(address model.Address, handler http.Handler) *Server {
	return &Server{Address: address, Handler: handler}
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
	return nil
}

// Run serves until the context ends, lets requests in progress end and reports its own end on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       readLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerSizeLimit,
	}
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
