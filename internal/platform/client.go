package platform

import (
	"context"
	"net/http"
	"sync"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/platformapi"
)

// Client is a Store that is called over HTTP.
type Client struct {
	// Host is the id of the calling host, sent with each request.
	Host model.HostID
	// Address is the address of the platform's service.
	Address model.Address
	// HTTP sends the requests; its transport may add tracing or delays.
	HTTP *http.Client

	once sync.Once
	api  *platformapi.Client
	err  error
}

var _ Store = (*Client)(nil)

// NewClient returns a client; Host and Address must be set before its first call.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{Transport: outbound.NewTransport()}}
}

// apiClient returns the generated client, created on first use.
func (c *Client) apiClient() (*platformapi.Client, error) {
	c.once.Do(func() {
		doer := outbound.Doer{Host: c.Host, HTTP: c.HTTP}
		c.api, c.err = platformapi.NewClient("http://"+string(c.Address), platformapi.WithClient(doer))
	})
	if c.err != nil {
		return nil, model.Refuse(model.CodeInvalid, "address %q: %v", c.Address, c.err)
	}
	return c.api, nil
}

// Rows returns the rows with the key prefix that changed after the revision, and the table's current revision.
func (c *Client) Rows(ctx context.Context, prefix model.RowKey, after model.Revision) (found []Row, revision model.Revision, err error) {
	api, err := c.apiClient()
	if err != nil {
		return nil, 0, err
	}
	answer, err := api.ListRows(ctx, platformapi.ListRowsParams{
		Prefix: string(prefix),
		After:  platformapi.NewOptUint64(uint64(after)),
	})
	if err != nil {
		return nil, 0, decodeError(err, outbound.NoEffect)
	}
	return decodeRows(answer.Rows), model.Revision(answer.Revision), nil
}

// Commit writes all rows if every check holds, otherwise none.
func (c *Client) Commit(ctx context.Context, checks []Check, puts []Put) (commit CommitResult, err error) {
	api, err := c.apiClient()
	if err != nil {
		return commit, err
	}
	answer, err := api.CommitRows(ctx, encodeTransaction(checks, puts))
	if err != nil {
		return commit, decodeError(err, outbound.MayHaveRun)
	}
	return CommitResult{Committed: answer.Committed, Rows: decodeRows(answer.Rows)}, nil
}

// Object returns one object, or a refusal with CodeNotFound.
func (c *Client) Object(ctx context.Context, name model.ObjectName) (content string, err error) {
	api, err := c.apiClient()
	if err != nil {
		return "", err
	}
	answer, err := api.GetObject(ctx, platformapi.GetObjectParams{Name: string(name)})
	if err != nil {
		return "", decodeError(err, outbound.NoEffect)
	}
	return answer.Content, nil
}

// PutObject writes one object.
func (c *Client) PutObject(ctx context.Context, name model.ObjectName, content string) (err error) {
	api, err := c.apiClient()
	if err != nil {
		return err
	}
	err = api.PutObject(ctx, &platformapi.Object{Content: content}, platformapi.PutObjectParams{Name: string(name)})
	return decodeError(err, outbound.MayHaveRun)
}

// Objects returns the names of the objects with the prefix, in order.
func (c *Client) Objects(ctx context.Context, prefix model.ObjectName) (names []model.ObjectName, err error) {
	api, err := c.apiClient()
	if err != nil {
		return nil, err
	}
	answer, err := api.ListObjects(ctx, platformapi.ListObjectsParams{Prefix: string(prefix)})
	if err != nil {
		return nil, decodeError(err, outbound.NoEffect)
	}
	for _, name := range answer.Names {
		names = append(names, model.ObjectName(name))
	}
	return names, nil
}

// Members returns the list of hosts and endpoints.
func (c *Client) Members(ctx context.Context) (members Members, err error) {
	api, err := c.apiClient()
	if err != nil {
		return members, err
	}
	answer, err := api.ListMembers(ctx)
	if err != nil {
		return members, decodeError(err, outbound.NoEffect)
	}
	return decodeMembers(answer.Members), nil
}
