package owner

import (
	"context"
	"sync"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// doubts remembers changes without an answer whose connection is not known to be closed, so that they may still come.
type doubts struct {
	mutex sync.Mutex
	open  map[*watched]doubt
}

// doubt is one change without an answer.
type doubt struct {
	request model.RequestID
	term    model.Term
}

// newDoubts returns an empty set.
func newDoubts() *doubts {
	return &doubts{open: map[*watched]doubt{}}
}

// may reports whether a change of the request may still come in the term or a later one.
func (d *doubts) may(request model.RequestID, term model.Term) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, open := range d.open {
		if open.request == request && open.term >= term {
			return true
		}
	}
	return false
}

// add notes a change without an answer.
func (d *doubts) add(conn *watched, open doubt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open[conn] = open
}

// remove notes that the connection is closed.
func (d *doubts) remove(conn *watched) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.open, conn)
}

// watch returns the instance with connections whose unanswered changes are remembered.
func (d *doubts) watch(instance endpoint.Instance) endpoint.Instance {
	return &watchedInstance{Instance: instance, doubts: d}
}

// watchedInstance is an instance whose connections are watched.
type watchedInstance struct {
	endpoint.Instance
	doubts *doubts
}

// Open opens a watched connection.
func (i *watchedInstance) Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (endpoint.Conn, model.InstanceState, error) {
	conn, state, err := i.Instance.Open(ctx, host, database, term)
	if err != nil {
		return nil, state, err
	}
	return &watched{Conn: conn, doubts: i.doubts}, state, nil
}

// watched is a connection that notes which change got no answer.
type watched struct {
	endpoint.Conn
	doubts *doubts
}

// Run runs one statement.
func (c *watched) Run(ctx context.Context, term model.Term, work model.Work) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Run(ctx, term, work)
	if err != nil && !model.NotRun(err) && work.Statement.Access == model.Write {
		c.doubts.add(c, doubt{request: work.Request, term: term})
	}
	return result, state, err
}

// Commit commits the open transaction.
func (c *watched) Commit(ctx context.Context, term model.Term, request model.RequestID) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Commit(ctx, term, request)
	if err != nil && !model.NotRun(err) {
		c.doubts.add(c, doubt{request: request, term: term})
	}
	return result, state, err
}

// Close closes the connection, after which none of its changes can come any more.
func (c *watched) Close(ctx context.Context) error {
	err := c.Conn.Close(ctx)
	if err == nil || model.CodeOf(err) == model.CodeUnknownConnection {
		c.doubts.remove(c)
	}
	return err
}
