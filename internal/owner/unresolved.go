package owner

import (
	"context"
	"sync"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// unresolvedWrites remembers changes without an answer whose connection is not known to be closed, so that they may still come.
type unresolvedWrites struct {
	mutex  sync.Mutex
	writes map[*trackedConn]unresolvedWrite
}

// unresolvedWrite is one change without an answer.
type unresolvedWrite struct {
	request model.RequestID
	term    model.Term
}

// newUnresolvedWrites returns an empty set.
func newUnresolvedWrites() *unresolvedWrites {
	return &unresolvedWrites{writes: map[*trackedConn]unresolvedWrite{}}
}

// mayApply reports whether a change of the request may still come in the term or a later one.
func (d *unresolvedWrites) mayApply(request model.RequestID, term model.Term) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, open := range d.writes {
		if open.request == request && open.term >= term {
			return true
		}
	}
	return false
}

// add notes a change without an answer.
func (d *unresolvedWrites) add(conn *trackedConn, open unresolvedWrite) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writes[conn] = open
}

// remove notes that the connection is closed.
func (d *unresolvedWrites) remove(conn *trackedConn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.writes, conn)
}

// wrap returns the instance with connections whose unanswered changes are remembered.
func (d *unresolvedWrites) wrap(instance endpoint.Instance) endpoint.Instance {
	return &trackedInstance{Instance: instance, unresolved: d}
}

// trackedInstance is an instance whose connections are watched.
type trackedInstance struct {
	endpoint.Instance
	unresolved *unresolvedWrites
}

// Open opens a watched connection.
func (i *trackedInstance) Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (endpoint.Conn, model.InstanceState, error) {
	conn, state, err := i.Instance.Open(ctx, host, database, term)
	if err != nil {
		return nil, state, err
	}
	return &trackedConn{Conn: conn, unresolved: i.unresolved}, state, nil
}

// trackedConn is a connection that notes which change got no answer.
type trackedConn struct {
	endpoint.Conn
	unresolved *unresolvedWrites
}

// Run runs one statement.
func (c *trackedConn) Run(ctx context.Context, term model.Term, work model.Work) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Run(ctx, term, work)
	if err != nil && !model.NotRun(err) && work.Statement.Access == model.Write {
		c.unresolved.add(c, unresolvedWrite{request: work.Request, term: term})
	}
	return result, state, err
}

// Commit commits the open transaction.
func (c *trackedConn) Commit(ctx context.Context, term model.Term, request model.RequestID) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Commit(ctx, term, request)
	if err != nil && !model.NotRun(err) {
		c.unresolved.add(c, unresolvedWrite{request: request, term: term})
	}
	return result, state, err
}

// Close closes the connection, after which none of its changes can come any more.
func (c *trackedConn) Close(ctx context.Context) error {
	err := c.Conn.Close(ctx)
	if err == nil || model.CodeOf(err) == model.CodeUnknownConnection {
		c.unresolved.remove(c)
	}
	return err
}
