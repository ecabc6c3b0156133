package history_test

import (
	"context"

	"redwingspread/internal/model"
)

// fakeConn is a connection to a fake instance.
type fakeConn struct {
	instance      *fakeInstance
	id            model.ConnectionID
	inTransaction bool
	closed        bool
	lists         []string // lists that the open transaction appends to
}

// ID returns the connection's id.
func (c *fakeConn) ID() model.ConnectionID { return c.id }

// check returns the refusal of a call in the term, or nil; the caller holds the database's mutex.
func (c *fakeConn) check(term model.Term, write bool) error {
	switch {
	case c.closed:
		return c.instance.refuse(model.CodeUnknownConnection, "the connection is closed")
	case term != c.instance.term:
		return c.instance.refuse(model.CodeWrongTerm, "the instance has another term")
	case write && c.instance.role != model.RolePrimary:
		return c.instance.refuse(model.CodeNotPrimary, "the instance is not primary")
	case c.instance.role == model.RoleFenced:
		return c.instance.refuse(model.CodeWrongTerm, "fenced")
	}
	return nil
}

// Run runs one statement: a read returns the list named by the argument "list", and a write appends to it.
func (c *fakeConn) Run(ctx context.Context, term model.Term, work model.Work) (result model.Result, state model.InstanceState, err error) {
	if work.MaxWait > 0 {
		if _, err = c.instance.Await(ctx, work.MinPoint, work.MaxWait); err != nil {
			return result, state, err
		}
	}
	err = c.instance.database.call(ctx, c.instance, func() error {
		if err := c.check(term, work.Statement.Access == model.Write); err != nil {
			return err
		}
		if c.instance.timeline.Relate(c.instance.point(), work.MinPoint) != model.Covered {
			return c.instance.refuse(model.CodeBehind, "the minimum point is not reached")
		}
		if work.MaxAge != nil && c.instance.state().Age > *work.MaxAge {
			return c.instance.refuse(model.CodeBehind, "the data is too old")
		}
		result = c.apply(work)
		state = c.instance.state()
		return nil
	}, func() {
		if c.check(term, work.Statement.Access == model.Write) == nil {
			c.apply(work)
		}
	})
	return result, state, err
}

// apply runs a statement that passed check; the caller holds the database's mutex.
func (c *fakeConn) apply(work model.Work) model.Result {
	list := work.Statement.Arguments["list"]
	if work.Statement.Access == model.Read {
		rows := c.instance.list(list)
		return model.Result{Request: work.Request, Succeeded: true, Rows: rows, Point: c.instance.point(), Instance: c.instance.info.ID, Role: c.instance.role}
	}
	if c.inTransaction {
		c.lists = append(c.lists, list)
		return model.Result{Request: work.Request, Succeeded: true, Point: c.instance.point(), Instance: c.instance.info.ID, Role: c.instance.role}
	}
	return c.instance.append(work.Request, []string{list})
}

// Begin begins a transaction.
func (c *fakeConn) Begin(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = c.instance.database.call(ctx, c.instance, func() error {
		if err := c.check(term, true); err != nil {
			return err
		}
		c.inTransaction, c.lists = true, nil
		state = c.instance.state()
		return nil
	}, nil)
	return state, err
}

// Commit commits the open transaction.
func (c *fakeConn) Commit(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, state model.InstanceState, err error) {
	err = c.instance.database.call(ctx, c.instance, func() error {
		if err := c.check(term, true); err != nil {
			return err
		}
		if !c.inTransaction {
			return c.instance.refuse(model.CodeNoTransaction, "no transaction is open")
		}
		result = c.instance.append(request, c.lists)
		c.inTransaction, c.lists = false, nil
		state = c.instance.state()
		return nil
	}, func() {
		if c.check(term, true) == nil && c.inTransaction {
			c.instance.append(request, c.lists)
		}
	})
	return result, state, err
}

// Rollback rolls the open transaction back.
func (c *fakeConn) Rollback(ctx context.Context) error {
	return c.instance.database.call(ctx, c.instance, func() error {
		c.inTransaction, c.lists = false, nil
		return nil
	}, nil)
}

// Close closes the connection, which rolls its transaction back.
func (c *fakeConn) Close(context.Context) error {
	c.instance.database.mutex.Lock()
	defer c.instance.database.mutex.Unlock()
	c.closed, c.inTransaction = true, false
	return nil
}
