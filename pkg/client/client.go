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
	defaultDeadline    = 5 * time.Second
	defaultAnswerLimit = 64 << 20 // bytes
)

// Client reaches the system through its hosts or through their balancer.
type Client struct {
	// Addresses are the hosts' caller addresses, which are tried in turn.
	Addresses []Address
	// Deadline is the time that a request has when its context sets no earlier end.
	Deadline time.Duration
	// AnswerLimit is the greatest size of an answer in bytes.
	AnswerLimit int64
	// Transport carries the requests; nil for the one of package http.
	Transport http.RoundTripper
	// Bearer is the caller's token, as an operator granted it.
	Bearer string
	// Secure asks for TLS; the transport knows the hosts' authorities.
	Secure bool

	budget   *retry.Budget
	turn     atomic.Uint64
	once     sync.Once
	invokers []callerapi.Invoker
	err      error
}

// New returns a client whose exported fields are to be set before its first request.
func New(addresses ...Address) *Client {
	return &Client{
		Addresses:   addresses,
		Deadline:    defaultDeadline,
		AnswerLimit: defaultAnswerLimit,
		budget:      retry.NewBudget(),
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
	c.once.Do(c.connect)
	if c.err != nil {
		return nil, c.err
	}
	turn := c.turn.Load() % uint64(len(c.invokers))
	return c.invokers[turn], nil
}

// skip turns to the next host after one failed.
func (c *Client) skip() {
	c.turn.Add(1)
}

// connect makes the interface of every host.
func (c *Client) connect() {
	if len(c.Addresses) == 0 {
		c.err = errors.New("the client has no address")
		return
	}
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	scheme := "http://"
	if c.Secure {
		scheme = "https://"
	}
	authorized := bearer{next: transport, token: c.Bearer}
	caller := &http.Client{Transport: limiter{next: authorized, limit: c.AnswerLimit}}
	for _, address := range c.Addresses {
		invoker, err := callerapi.NewClient(scheme+string(address), callerapi.WithClient(caller))
		if err != nil {
			c.err = fmt.Errorf("connect to %s: %w", address, err)
			return
		}
		c.invokers = append(c.invokers, invoker)
	}
}

// withDeadline returns a context that ends at the client's deadline at the latest.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Deadline)
}
