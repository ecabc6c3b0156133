package history_test

import (
	"context"

	"redwingspread/internal/model"
)

// fakeConn is one connection of a fake.
type fakeConn struct {
	fake   *fakeInstance
	id     model.ConnectionID
	open   bool
	closed bool
	lists  []string
}

// ID returns the connection's name.
func (c *fakeConn) ID() model.ConnectionID { return c.id }

// check returns the refusal of a call in the term; the group is locked.
func (c *fakeConn) check(term model.Term, write bool) error {
	switch {
	case c.closed:
		return c.fake.refuse(model.CodeUnknownConnection, "closed")
	case term != c.fake.term:
		return c.fake.refuse(model.CodeWrongTerm, "of another term")
	case write && c.fake.role != model.RolePrimary:
		return c.fake.refuse(model.CodeNotPrimary, "no primary")
	case c.fake.role == model.RoleFenced:
		return c.fake.refuse(model.CodeWrongTerm, "fenced")
	}
	return nil
}

// Run runs one statement: "append" and "list" of the argument "list".
func (c *fakeConn) Run(ctx context.Context, term model.Term, work model.Work) (result model.Result, state model.InstanceState, err error) {
	if work.MaxWait > 0 {
		if _, err = c.fake.Await(ctx, work.MinPoint, work.MaxWait); err != nil {
			return result, state, err
		}
	}
	err = c.fake.group.call(ctx, c.fake, func() error {
		if err := c.check(term, work.Statement.Access == model.Write); err != nil {
			return err
		}
		if c.fake.timeline.Relate(c.fake.point(), work.MinPoint) != model.Covered {
			return c.fake.refuse(model.CodeBehind, "the least point is not held")
		}
		if work.MaxAge != nil && c.fake.state().Age > *work.MaxAge {
			return c.fake.refuse(model.CodeBehind, "the data is too old")
		}
		result = c.apply(work)
		state = c.fake.state()
		return nil
	}, func() {
		if c.check(term, work.Statement.Access == model.Write) == nil {
			c.apply(work)
		}
	})
	return result, state, err
}

// apply runs a checked statement; the group is locked.
func (c *fakeConn) apply(work model.Work) model.Result {
	list := work.Statement.Arguments["list"]
	if work.Statement.Access == model.Read {
		rows := c.fake.list(list)
		return model.Result{Request: work.Request, Done: true, Rows: rows, Point: c.fake.point(), Instance: c.fake.info.ID, Role: c.fake.role}
	}
	if c.open {
		c.lists = append(c.lists, list)
		return model.Result{Request: work.Request, Done: true, Point: c.fake.point(), Instance: c.fake.info.ID, Role: c.fake.role}
	}
	return c.fake.append(work.Request, []string{list})
}

// Begin begins a transaction.
func (c *fakeConn) Begin(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = c.fake.group.call(ctx, c.fake, func() error {
		if err := c.check(term, true); err != nil {
			return err
		}
		c.open, c.lists = true, nil
		state = c.fake.state()
		return nil
	}, nil)
	return state, err
}

// Commit commits the open transaction.
func (c *fakeConn) Commit(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, state model.InstanceState, err error) {
	err = c.fake.group.call(ctx, c.fake, func() error {
		if err := c.check(term, true); err != nil {
			return err
		}
		if !c.open {
			return c.fake.refuse(model.CodeNoTransaction, "none is open")
		}
		result = c.fake.append(request, c.lists)
		c.open, c.lists = false, nil
		state = c.fake.state()
		return nil
	}, func() {
		if c.check(term, true) == nil && c.open {
			c.fake.append(request, c.lists)
		}
	})
	return result, state, err
}

// Rollback rolls the open transaction back.
func (c *fakeConn) Rollback(ctx context.Context) error {
	return c.fake.group.call(ctx, c.fake, func() error {
		c.open, c.lists = false, nil
		return nil
	}, nil)
}

// Close closes the connection, which rolls its transaction back.
func (c *fakeConn) Close(context.Context) error {
	c.fake.group.mutex.Lock()
	defer c.fake.group.mutex.Unlock()
	c.closed, c.open = true, false
	return nil
}
