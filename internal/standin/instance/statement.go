package instance

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/data"
)

// checkStatement refuses a statement that this instance cannot run, whatever point it requires. Otherwise it returns the
// connection.
func (c *core) checkStatement(now time.Time, id model.ConnectionID, term model.Term, statement model.Statement) (*connection, error) {
	if err := data.Check(statement); err != nil {
		return nil, err
	}
	conn, err := c.useConnection(now, id, term)
	if err != nil {
		return nil, err
	}
	if statement.Access == model.Write && c.role != model.RolePrimary {
		return nil, c.refuse(now, model.CodeNotPrimary, "instance is %s", c.role)
	}
	return conn, nil
}

// hasPoint reports whether the log covers a point.
func (c *core) hasPoint(required model.Point) bool {
	return c.log.timeline.Relate(c.log.point(), required) == model.Covered
}

// startStatement occupies a slot for a statement; finishStatement releases it.
func (c *core) startStatement(now time.Time, id model.ConnectionID, term model.Term, work model.Work) error {
	conn, err := c.checkStatement(now, id, term, work.Statement)
	if err != nil {
		return err
	}
	if !c.hasPoint(work.MinPoint) {
		return c.refuse(now, model.CodeBehind, "point %d/%d is not held", work.MinPoint.Term, work.MinPoint.Position)
	}
	if age := c.age(now); work.MaxAge != nil && age > *work.MaxAge {
		return c.refuse(now, model.CodeBehind, "data is %v old", time.Duration(age))
	}
	if c.slotsUsed >= c.limits.slots {
		return c.refuse(now, model.CodeSlotsFull, "all %d slots are taken", c.limits.slots)
	}
	c.slotsUsed++
	conn.busy = true
	return nil
}

// finishStatement releases the slot and executes the statement. It checks the statement again, as a fence may have raised the
// term in the meantime.
func (c *core) finishStatement(now time.Time, id model.ConnectionID, term model.Term, work model.Work) (result model.Result, err error) {
	c.slotsUsed--
	if conn, found := c.connections[id]; found {
		conn.busy = false
	}
	conn, err := c.checkStatement(now, id, term, work.Statement)
	if err != nil {
		return result, err
	}
	if conn.inTransaction {
		return c.runInTransaction(conn, work), nil
	}
	if work.Statement.Access == model.Read {
		return resultOf(work.Request, c.log.database.Run(work.Statement), c.log.point()), nil
	}
	if e, found := c.log.find(work.Request); found {
		return c.repeatedResult(e), nil
	}
	return c.write(now, work.Request, []model.Statement{work.Statement}), nil
}

// runInTransaction runs a statement on top of the transaction's earlier writes. A successful write is added to them.
func (c *core) runInTransaction(conn *connection, work model.Work) model.Result {
	for _, write := range conn.buffered {
		c.log.database.Run(write)
	}
	outcome := c.log.database.Run(work.Statement)
	c.log.database.Rollback()
	if outcome.Done && work.Statement.Access == model.Write {
		conn.buffered = append(conn.buffered, work.Statement)
	}
	return resultOf(work.Request, outcome, c.log.point())
}
