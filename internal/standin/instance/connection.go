package instance

import (
	"fmt"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/data"
)

// connection is an open connection.
type connection struct {
	host          model.HostID // host that opened the connection
	busy          bool         // whether a statement is running
	lastUsed      time.Time
	inTransaction bool
	buffered      []model.Statement // writes of the open transaction, applied at commit
}

// reserve counts a connection that is being opened against the limit.
func (c *core) reserve(now time.Time, database model.DatabaseID, term model.Term) error {
	if database != c.database {
		return c.refuse(now, model.CodeInvalid, "database is %q, not %q", c.database, database)
	}
	if err := c.checkTerm(now, term); err != nil {
		return err
	}
	if c.leaving {
		return c.refuse(now, model.CodeLeaving, "instance is leaving")
	}
	if c.openingCount+model.Connections(len(c.connections)) >= c.limits.connections {
		return c.refuse(now, model.CodeConnectionsFull, "all %d connections are open", c.limits.connections)
	}
	c.openingCount++
	return nil
}

// open turns a reservation into an open connection.
func (c *core) open(now time.Time, host model.HostID, term model.Term) (id model.ConnectionID, err error) {
	c.openingCount--
	if err := c.checkTerm(now, term); err != nil {
		return "", err
	}
	c.openedCount++
	id = model.ConnectionID(fmt.Sprintf("%s-%x-%d", c.id, c.startedAt.UnixNano(), c.openedCount))
	c.connections[id] = &connection{host: host, lastUsed: now}
	return id, nil
}

// close closes a connection and discards its open transaction.
func (c *core) close(id model.ConnectionID) {
	delete(c.connections, id)
}

// closeIdle closes the connections whose idle timeout has passed.
func (c *core) closeIdle(now time.Time) {
	for id, conn := range c.connections {
		if !conn.busy && now.Sub(conn.lastUsed) >= c.limits.idleTimeout {
			delete(c.connections, id)
		}
	}
}

// useConnection returns a connection that can accept a request in the term, and records its use.
func (c *core) useConnection(now time.Time, id model.ConnectionID, term model.Term) (*connection, error) {
	if err := c.checkTerm(now, term); err != nil {
		return nil, err
	}
	conn, found := c.connections[id]
	if !found {
		return nil, c.refuse(now, model.CodeUnknownConnection, "connection %q is not open", id)
	}
	if conn.busy {
		return nil, c.refuse(now, model.CodeInvalid, "connection %q is busy", id)
	}
	conn.lastUsed = now
	return conn, nil
}

// begin starts a transaction.
func (c *core) begin(now time.Time, id model.ConnectionID, term model.Term) (state model.InstanceState, err error) {
	conn, err := c.useConnection(now, id, term)
	if err != nil {
		return state, err
	}
	if conn.inTransaction {
		return state, c.refuse(now, model.CodeTransactionOpen, "a transaction is open")
	}
	conn.inTransaction = true
	return c.state(now), nil
}

// rollback discards the open transaction.
func (c *core) rollback(now time.Time, id model.ConnectionID) error {
	conn, found := c.connections[id]
	if !found {
		return c.refuse(now, model.CodeUnknownConnection, "connection %q is not open", id)
	}
	if !conn.inTransaction {
		return c.refuse(now, model.CodeNoTransaction, "no transaction is open")
	}
	conn.inTransaction = false
	conn.buffered = nil
	return nil
}

// commit runs the buffered writes and appends them to the log as one entry.
func (c *core) commit(now time.Time, id model.ConnectionID, term model.Term, request model.RequestID) (result model.Result, err error) {
	conn, err := c.useConnection(now, id, term)
	if err != nil {
		return result, err
	}
	if e, found := c.log.find(request); found {
		conn.inTransaction = false
		conn.buffered = nil
		return c.repeatedResult(e), nil
	}
	if !conn.inTransaction {
		return result, c.refuse(now, model.CodeNoTransaction, "no transaction is open")
	}
	if c.role != model.RolePrimary && len(conn.buffered) > 0 {
		return result, c.refuse(now, model.CodeNotPrimary, "instance is %s", c.role)
	}
	statements := conn.buffered
	conn.inTransaction = false
	conn.buffered = nil
	if len(statements) == 0 {
		return resultOf(request, data.Outcome{Done: true}, c.log.point()), nil
	}
	return c.write(now, request, statements), nil
}

// write runs statements atomically and appends them with their outcome to the log. If one fails, none has an effect, and
// the failure is logged as the outcome.
func (c *core) write(now time.Time, request model.RequestID, statements []model.Statement) model.Result {
	var outcome data.Outcome
	for _, statement := range statements {
		outcome = c.log.database.Run(statement)
		if !outcome.Done {
			break
		}
	}
	c.log.database.Rollback()
	if !outcome.Done {
		statements = nil
	}
	next := model.Point{Term: c.term, Position: c.log.point().Position + 1}
	c.log.apply(entry{point: next, committedAt: now, request: request, statements: statements, outcome: outcome})
	c.notifyChange()
	return resultOf(request, outcome, next)
}

// resultOf converts an outcome to the result of a request.
func resultOf(request model.RequestID, outcome data.Outcome, point model.Point) model.Result {
	return model.Result{
		Request:       request,
		Succeeded:     outcome.Done,
		FailureReason: outcome.Reason,
		Rows:          outcome.Rows,
		Point:         point,
	}
}
