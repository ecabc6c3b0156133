package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/retry"
	"redwingspread/pkg/api/callerapi"
)

// Defaults of a client.
const (
	defaultTimeout          = 5 * time.Second
	defaultMaxResponseBytes = 64 << 20
)

// Client sends requests to the hosts of the system, directly or through a load balancer. It is safe for concurrent use.
type Client struct {
	// Addresses are the addresses of the hosts' caller interfaces or of a load balancer; after a failed attempt, the next one
	// is used.
	Addresses []Address
	// Timeout is the maximum duration of a request, including retries; the context may set an earlier deadline.
	Timeout time.Duration
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int64
	// Transport sends the HTTP requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// BearerToken is the token that an operator issued to the caller; no token is sent if it is empty.
	BearerToken string
	// UseTLS selects HTTPS; the certificate authorities to trust are a setting of Transport.
	UseTLS bool

	budget    *retry.Budget
	hostIndex atomic.Uint64       // index of the current host, modulo the number of hosts
	once      sync.Once           // guards createInvokers
	invokers  []callerapi.Invoker // API clients, one for each address
	initErr   error
}

// New returns a client with default settings. Its exported fields have to be set before its first request.
func New(addresses ...Address) *Client {
	return &Client{
		Addresses:        addresses,
		Timeout:          defaultTimeout,
		MaxResponseBytes: defaultMaxResponseBytes,
		budget:           retry.NewBudget(),
	}
}

// Session returns a new session.
func (c *Client) Session() *Session {
	return c.Resume("")
}

// Resume returns a session that continues the one that returned the token.
func (c *Client) Resume(token string) *Session {
	return &Session{client: c, token: token, pending: map[DatabaseID]RequestID{}}
}

// invoker returns the API client of the current host.
func (c *Client) invoker() (callerapi.Invoker, error) {
	c.once.Do(c.createInvokers)
	if c.initErr != nil {
		return nil, c.initErr
	}
	index := c.hostIndex.Load() % uint64(len(c.invokers))
	return c.invokers[index], nil
}

// nextHost switches to the next host after a failed attempt.
func (c *Client) nextHost() {
	c.hostIndex.Add(1)
}

// createInvokers creates an API client for each address; a failure is kept in initErr.
func (c *Client) createInvokers() {
	if len(c.Addresses) == 0 {
		c.initErr = errors.New("client has no addresses")
		return
	}
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	scheme := "http://"
	if c.UseTLS {
		scheme = "https://"
	}
	authenticated := bearerTransport{next: transport, token: c.BearerToken}
	httpClient := &http.Client{Transport: limitTransport{next: authenticated, limit: c.MaxResponseBytes}}
	for _, address := range c.Addresses {
		invoker, err := callerapi.NewClient(scheme+string(address), callerapi.WithClient(httpClient))
		if err != nil {
			c.initErr = fmt.Errorf("create API client for %s: %w", address, err)
			return
		}
		c.invokers = append(c.invokers, invoker)
	}
}

// withTimeout returns a context that expires after the client's timeout, or earlier if ctx does.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}
