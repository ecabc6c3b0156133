package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/pkg/api/peerapi"
)

// idleTimeout is the time without a packet after which a connection to a peer is closed.
const idleTimeout = 10 * time.Second

// dialTimeout is the time limit of a handshake with a peer.
const dialTimeout = time.Second

// Client calls other hosts over one connection to each.
type Client struct {
	// TLS authenticates this host to its peers and verifies their certificates.
	TLS *tls.Config
	// Wrap adds middleware, such as tracing, around the transport.
	Wrap func(http.RoundTripper) http.RoundTripper
	// Now returns the current time.
	Now func() time.Time

	socket    *quic.Transport
	transport *http3.Transport
	http      *http.Client
	mutex     sync.Mutex
	peers     map[model.Address]*peerapi.Client
}

// NewClient returns a client; TLS must be set before Open.
func NewClient() *Client {
	return &Client{
		Wrap:  func(next http.RoundTripper) http.RoundTripper { return next },
		Now:   time.Now,
		peers: map[model.Address]*peerapi.Client{},
	}
}

// dialError is the error of a failed dial, after which no request was sent.
type dialError struct {
	cause error
}

// Error returns the text of the cause.
func (e *dialError) Error() string {
	return "dial: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *dialError) Unwrap() error {
	return e.cause
}

// Open opens the socket that all connections share.
func (c *Client) Open() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("peer client: %w", err)
		}
	}()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return err
	}
	c.socket = &quic.Transport{Conn: socket}
	c.transport = &http3.Transport{
		TLSClientConfig: c.TLS,
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout},
		Dial:            c.dial,
	}
	c.http = &http.Client{Transport: c.Wrap(c.transport)}
	return nil
}

// Close closes every connection and the socket.
func (c *Client) Close() error {
	socket := c.socket.Conn
	return errors.Join(c.transport.Close(), c.socket.Close(), socket.Close())
}

// Service returns a service that runs work at the host.
func (c *Client) Service(host model.Host) owner.Service {
	return &remote{client: c, host: host}
}

// dial connects to a peer; its errors are of type dialError.
func (c *Client) dial(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	conn, err := c.socket.Dial(ctx, remote, tlsConfig, config)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// api returns the generated client of the peer at the address, created on first use.
func (c *Client) api(address model.Address) (*peerapi.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if api := c.peers[address]; api != nil {
		return api, nil
	}
	api, err := peerapi.NewClient("https://"+string(address), peerapi.WithClient(c.http))
	if err != nil {
		return nil, model.Refuse(model.CodeUnavailable, "peer address %q: %v", address, err)
	}
	c.peers[address] = api
	return api, nil
}

// decodeCallError translates the error of a call; after a failed dial the request did not run.
func decodeCallError(err error) error {
	if err == nil {
		return nil
	}
	var failed *dialError
	if errors.As(err, &failed) {
		return model.Refuse(model.CodeUnavailable, "peer out of reach: %v", failed)
	}
	return decodeError(err)
}
