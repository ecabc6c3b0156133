package owner

import (
	"context"
	"sync"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// unresolvedWrites tracks unanswered writes whose connection is not known to be closed, so that the instance may still apply them.
type unresolvedWrites struct {
	mutex  sync.Mutex
	writes map[*trackedConn]unresolvedWrite
}

// unresolvedWrite is a write or commit without an answer.
type unresolvedWrite struct {
	request model.RequestID
	term    model.Term
}

// newUnresolvedWrites returns an empty set.
func newUnresolvedWrites() *unresolvedWrites {
	return &unresolvedWrites{writes: map[*trackedConn]unresolvedWrite{}}
}

// mayApply reports whether an unanswered write of the request in the given or a later term may still be applied.
func (u *unresolvedWrites) mayApply(request model.RequestID, term model.Term) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, write := range u.writes {
		if write.request == request && write.term >= term {
			return true
		}
	}
	return false
}

// add records an unanswered write of a connection.
func (u *unresolvedWrites) add(conn *trackedConn, write unresolvedWrite) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.writes[conn] = write
}

// remove drops the write of a connection that is closed.
func (u *unresolvedWrites) remove(conn *trackedConn) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.writes, conn)
}

// wrap returns the instance with connections whose unanswered writes are tracked.
func (u *unresolvedWrites) wrap(instance endpoint.Instance) endpoint.Instance {
	return &trackedInstance{Instance: instance, unresolved: u}
}

// trackedInstance is an instance whose connections are tracked.
type trackedInstance struct {
	endpoint.Instance
	unresolved *unresolvedWrites
}

// Open opens a tracked connection.
func (i *trackedInstance) Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (endpoint.Conn, model.InstanceState, error) {
	conn, state, err := i.Instance.Open(ctx, host, database, term)
	if err != nil {
		return nil, state, err
	}
	return &trackedConn{Conn: conn, unresolved: i.unresolved}, state, nil
}

// trackedConn is a connection that records writes and commits without an answer.
type trackedConn struct {
	endpoint.Conn
	unresolved *unresolvedWrites
}

// Run runs a statement and records a write without an answer.
func (c *trackedConn) Run(ctx context.Context, term model.Term, work model.Work) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Run(ctx, term, work)
	if err != nil && !model.NotRun(err) && work.Statement.Access == model.Write {
		c.unresolved.add(c, unresolvedWrite{request: work.Request, term: term})
	}
	return result, state, err
}

// Commit commits the open transaction and records a commit without an answer.
func (c *trackedConn) Commit(ctx context.Context, term model.Term, request model.RequestID) (model.Result, model.InstanceState, error) {
	result, state, err := c.Conn.Commit(ctx, term, request)
	if err != nil && !model.NotRun(err) {
		c.unresolved.add(c, unresolvedWrite{request: request, term: term})
	}
	return result, state, err
}

// Close closes the connection; once it is closed, or unknown to the instance, none of its writes can be applied any more.
func (c *trackedConn) Close(ctx context.Context) error {
	err := c.Conn.Close(ctx)
	if err == nil || model.CodeOf(err) == model.CodeUnknownConnection {
		c.unresolved.remove(c)
	}
	return err
}
