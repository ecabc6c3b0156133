package endpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/endpointapi"
)

// Client is an Instance that is called over HTTP.
type Client struct {
	// Host is the id of the calling host, sent with each request.
	Host model.HostID
	// Target is the instance to call.
	Target model.Instance
	// HTTP sends the requests; its transport may add tracing or delays.
	HTTP *http.Client

	once sync.Once
	api  *endpointapi.Client
	err  error
}

var _ Instance = (*Client)(nil)

// NewClient returns a client; Host and Target must be set before its first call.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{Transport: outbound.NewTransport()}}
}

// apiClient returns the generated client, created on first use.
func (c *Client) apiClient() (*endpointapi.Client, error) {
	c.once.Do(func() {
		doer := outbound.Doer{Host: c.Host, HTTP: c.HTTP}
		c.api, c.err = endpointapi.NewClient("http://"+string(c.Target.Address), endpointapi.WithClient(doer))
	})
	if c.err != nil {
		return nil, model.Refuse(model.CodeInvalid, "address %q: %v", c.Target.Address, c.err)
	}
	return c.api, nil
}

// Open opens a connection for the host in the term.
func (c *Client) Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (opened Conn, state model.InstanceState, err error) {
	api, err := c.apiClient()
	if err != nil {
		return nil, state, err
	}
	request := &endpointapi.ConnectionRequest{Host: string(host), Database: string(database), Term: uint64(term)}
	answer, err := api.OpenConnection(ctx, request)
	if err != nil {
		return nil, state, decodeError(err, outbound.MayHaveRun)
	}
	id := model.ConnectionID(answer.Connection)
	return &conn{api: api, id: id}, decodeState(answer.State), nil
}

// State returns the state that the instance reports.
func (c *Client) State(ctx context.Context) (model.InstanceState, error) {
	return c.state(ctx, endpointapi.GetStateParams{})
}

// Await waits until the instance has reached the point or the timeout has passed, and returns its state.
func (c *Client) Await(ctx context.Context, minPoint model.Point, timeout time.Duration) (model.InstanceState, error) {
	return c.state(ctx, endpointapi.GetStateParams{
		LeastTerm:     endpointapi.NewOptUint64(uint64(minPoint.Term)),
		LeastPosition: endpointapi.NewOptUint64(uint64(minPoint.Position)),
		WaitMs:        endpointapi.NewOptInt64(timeout.Milliseconds()),
	})
}

// state requests the instance's state.
func (c *Client) state(ctx context.Context, params endpointapi.GetStateParams) (state model.InstanceState, err error) {
	api, err := c.apiClient()
	if err != nil {
		return state, err
	}
	answer, err := api.GetState(ctx, params)
	if err != nil {
		return state, decodeError(err, outbound.NoEffect)
	}
	return decodeState(*answer), nil
}

// Fence raises the instance's term, after which the instance refuses work of a lower term.
func (c *Client) Fence(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	api, err := c.apiClient()
	if err != nil {
		return state, err
	}
	answer, err := api.Fence(ctx, &endpointapi.TermRequest{Term: uint64(term)})
	if err != nil {
		return state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeState(*answer), nil
}

// Promote makes the instance the primary of the term.
func (c *Client) Promote(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	api, err := c.apiClient()
	if err != nil {
		return state, err
	}
	answer, err := api.Promote(ctx, &endpointapi.TermRequest{Term: uint64(term)})
	if err != nil {
		return state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeState(*answer), nil
}

// Follow makes the instance a replica of the primary of the term.
func (c *Client) Follow(ctx context.Context, term model.Term, primary model.Instance) (state model.InstanceState, err error) {
	api, err := c.apiClient()
	if err != nil {
		return state, err
	}
	request := &endpointapi.FollowRequest{Term: uint64(term), Primary: string(primary.ID), Address: string(primary.Address)}
	answer, err := api.Follow(ctx, request)
	if err != nil {
		return state, decodeError(err, outbound.MayHaveRun)
	}
	return decodeState(*answer), nil
}

// Outcome looks up the recorded result of a request id and reports whether there is one.
func (c *Client) Outcome(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, found bool, err error) {
	api, err := c.apiClient()
	if err != nil {
		return result, false, err
	}
	answer, err := api.GetOutcome(ctx, endpointapi.GetOutcomeParams{Request: string(request), Term: uint64(term)})
	if err != nil {
		return result, false, decodeError(err, outbound.NoEffect)
	}
	recorded, ok := answer.Result.Get()
	if !answer.Found || !ok {
		return result, false, nil
	}
	result, _, err = decodeResult(request, recorded)
	return result, err == nil, err
}
