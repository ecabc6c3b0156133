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

// The defaults of a client.
const (
	defaultTimeout          = 5 * time.Second
	defaultMaxResponseBytes = 64 << 20 // bytes
)

// Client reaches the system through its hosts or through their balancer.
type Client struct {
	// Addresses are the hosts' caller addresses, which are tried in turn.
	Addresses []Address
	// Timeout is the time that a request has when its context sets no earlier end.
	Timeout time.Duration
	// MaxResponseBytes is the greatest size of an answer in bytes.
	MaxResponseBytes int64
	// Transport carries the requests; nil for the one of package http.
	Transport http.RoundTripper
	// BearerToken is the caller's token, as an operator granted it.
	BearerToken string
	// UseTLS asks for TLS; the transport knows the hosts' authorities.
	UseTLS bool

	budget    *retry.Budget
	hostIndex atomic.Uint64
	once      sync.Once
	invokers  []callerapi.Invoker
	initErr   error
}

// New returns a client whose exported fields are to be set before its first request.
func New(addresses ...Address) *Client {
	return &Client{
		Addresses:        addresses,
		Timeout:          defaultTimeout,
		MaxResponseBytes: defaultMaxResponseBytes,
		budget:           retry.NewBudget(),
	}
}

// Session returns a session that has seen nothing.
func (c *Client) Session() *Session {
	return c.Resume("")
}

// Resume returns the session that the token of an earlier answer stands for.
func (c *Client) Resume(token string) *Session {
	return &Session{client: c, token: token, pending: map[DatabaseID]RequestID{}}
}

// invoker returns the next host's interface.
func (c *Client) invoker() (callerapi.Invoker, error) {
	c.once.Do(c.createInvokers)
	if c.initErr != nil {
		return nil, c.initErr
	}
	turn := c.hostIndex.Load() % uint64(len(c.invokers))
	return c.invokers[turn], nil
}

// nextHost turns to the next host after one failed.
func (c *Client) nextHost() {
	c.hostIndex.Add(1)
}

// createInvokers makes the interface of every host.
func (c *Client) createInvokers() {
	if len(c.Addresses) == 0 {
		c.initErr = errors.New("the client has no address")
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
	authorized := bearerTransport{next: transport, token: c.BearerToken}
	caller := &http.Client{Transport: limitTransport{next: authorized, limit: c.MaxResponseBytes}}
	for _, address := range c.Addresses {
		invoker, err := callerapi.NewClient(scheme+string(address), callerapi.WithClient(caller))
		if err != nil {
			c.initErr = fmt.Errorf("connect to %s: %w", address, err)
			return
		}
		c.invokers = append(c.invokers, invoker)
	}
}

// withTimeout returns a context that ends at the client's deadline at the latest.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Timeout)
}
