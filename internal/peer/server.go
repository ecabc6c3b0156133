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

// bodyLimit is the maximum size of a request body in bytes.
const bodyLimit = 8 << 20

// streamLimit is the maximum number of concurrent calls on one connection.
const streamLimit = 4096

// Control answers peers' requests about this host's control state.
type Control interface {
	// Heartbeat processes a peer's heartbeat and returns this host's own.
	Heartbeat(ctx context.Context, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error)
	// Fleet returns the members and owners that this host knows.
	Fleet(ctx context.Context) (fleet.Fleet, error)
	// Configuration returns the version and document of the newest configuration that this host knows.
	Configuration(ctx context.Context) (model.Version, string, error)
}

// Server serves the peer API over HTTP/3.
type Server struct {
	// Address is the UDP address that the server listens on.
	Address model.Address
	// TLS authenticates this host to its peers and verifies their certificates.
	TLS *tls.Config
	// Service runs forwarded work.
	Service owner.Service
	// Control answers heartbeats and queries of control state.
	Control Control
	// Wrap adds middleware, such as tracing, around the handler.
	Wrap func(http.Handler) http.Handler
	// DrainTimeout limits the wait for calls in progress at shutdown.
	DrainTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time

	socket net.PacketConn
}

// NewServer returns a server; the fields without a default must be set before Listen and Run.
func NewServer() *Server {
	return &Server{
		Wrap: func(next http.Handler) http.Handler { return next },
		Now:  time.Now,
	}
}

// Listen opens the server's socket, so that an address in use is reported before Run.
func (s *Server) Listen() (err error) {
	s.socket, err = net.ListenPacket("udp", string(s.Address))
	if err != nil {
		return fmt.Errorf("peer server: %w", err)
	}
	return nil
}

// Run serves until the context ends, waits for calls in progress and sends its result on done.
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
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTimeout)
		err = server.Shutdown(drainCtx)
		cancel()
		server.Close()
		<-served
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	done <- errors.Join(err, s.socket.Close())
}

// handler returns the generated server with its middleware and body limit.
func (s *Server) handler() (http.Handler, error) {
	server, err := peerapi.NewServer(&handler{server: s}, peerapi.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, fmt.Errorf("peer server: %w", err)
	}
	return s.Wrap(http.MaxBytesHandler(identify(server), bodyLimit)), nil
}

// writeDecodeError writes the refusal of a request that could not be decoded.
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
