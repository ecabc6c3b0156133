package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/pkg/api/peerapi"
)

// bodyLimit is the largest message of a peer in bytes.
const bodyLimit = 8 << 20

// streamLimit is the number of calls that one peer may have open.
const streamLimit = 4096

// Control answers what peers ask of this host's control state.
type Control interface {
	// Heartbeat takes a peer's heartbeat and returns this host's own.
	Heartbeat(ctx context.Context, beat fleet.Heartbeat) (fleet.Heartbeat, error)
	// Fleet returns what this host knows of the members and the owners.
	Fleet(ctx context.Context) (fleet.Fleet, error)
	// Configuration returns the newest version and document that this host knows.
	Configuration(ctx context.Context) (model.Version, string, error)
}

// Server serves the peer interface.
type Server struct {
	// Address is where the server listens.
	Address model.Address
	// TLS proves this host to its peers and checks theirs.
	TLS *tls.Config
	// Service runs the forwarded work.
	Service owner.Service
	// Control answers heartbeats.
	Control Control
	// Wrap adds layers, such as spans, around the handler.
	Wrap func(http.Handler) http.Handler
	// DrainTimeout is the time that calls in progress have to end.
	DrainTimeout time.Duration
	// Now reads the clock.
	Now func() time.Time

	socket net.PacketConn
}

// NewServer returns a server whose exported fields are to be set before Run.
func NewServer() *Server {
	return &Server{
		Wrap: func(next http.Handler) http.Handler { return next },
		Now:  time.Now,
	}
}

// Listen opens the server's socket, so that a taken address is known before Run.
func (s *Server) Listen() (err error) {
	s.socket, err = net.ListenPacket("udp", string(s.Address))
	if err != nil {
		return fmt.Errorf("peer server: %w", err)
	}
	return nil
}

// Run serves until the context ends, lets calls in progress end and reports its end on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	handler, err := s.handler()
	if err != nil {
		done <- err
		return
	}
	server := &http3.Server{
		TLSConfig:  http3.ConfigureTLSConfig(s.TLS),
		QUICConfig: &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: streamLimit},
		Handler:    handler,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.socket) }()
	select {
	case err = <-served:
	case <-ctx.Done():
		drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTimeout)
		err = server.Shutdown(drain)
		cancel()
		server.Close()
		<-served
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	done <- errors.Join(err, s.socket.Close())
}

// handler returns the generated server within its limits and layers.
func (s *Server) handler() (http.Handler, error) {
	server, err := peerapi.NewServer(&handler{server: s}, peerapi.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, fmt.Errorf("peer server: %w", err)
	}
	return s.Wrap(http.MaxBytesHandler(identify(server), bodyLimit)), nil
}

// writeDecodeError answers a message that could not be decoded.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	answer := encodeRefusal(model.Refuse(model.CodeInvalid, "%v", err))
	body, err := json.Marshal(&answer.Response)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.StatusCode)
	w.Write(body)
}
