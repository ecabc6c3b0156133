package instance

import (
	"context"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
)

// reply is a result together with the instance's state.
type reply struct {
	result model.Result
	state  model.InstanceState
	found  bool // whether an outcome is recorded; set by GetOutcome only
}

// open opens a connection, which takes ConnectionCost and continues even if the caller gives up.
func (i *Instance) open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (id model.ConnectionID, state model.InstanceState, err error) {
	ctx = context.WithoutCancel(ctx)
	err = tell(ctx, i, func(c *core) error { return c.reserve(i.Now(), database, term) })
	if err != nil {
		return "", state, err
	}
	clock.Pause(ctx, i.ConnectionCost)
	state, err = ask(ctx, i, func(c *core) (model.InstanceState, error) {
		id, err = c.open(i.Now(), host, term)
		return c.state(i.Now()), err
	})
	return id, state, err
}

// run waits up to MaxWait for the log to cover the work's minimum point, then runs the statement in a slot. A started
// statement continues even if the caller gives up.
func (i *Instance) run(ctx context.Context, id model.ConnectionID, term model.Term, work model.Work) (r reply, err error) {
	err = i.await(ctx, work.MaxWait, func(c *core) (bool, error) {
		_, err := c.checkStatement(i.Now(), id, term, work.Statement)
		return c.hasPoint(work.MinPoint), err
	})
	if err != nil {
		return r, err
	}
	ctx = context.WithoutCancel(ctx)
	err = tell(ctx, i, func(c *core) error { return c.startStatement(i.Now(), id, term, work) })
	if err != nil {
		return r, err
	}
	clock.Pause(ctx, i.ServiceTime)
	return ask(ctx, i, func(c *core) (reply, error) {
		result, err := c.finishStatement(i.Now(), id, term, work)
		return reply{result: result, state: c.state(i.Now())}, err
	})
}

// commit commits the connection's transaction.
func (i *Instance) commit(ctx context.Context, id model.ConnectionID, term model.Term, request model.RequestID) (reply, error) {
	return ask(ctx, i, func(c *core) (reply, error) {
		result, err := c.commit(i.Now(), id, term, request)
		return reply{result: result, state: c.state(i.Now())}, err
	})
}

// awaitPoint returns the instance's state once the log covers the point, or when the limit has passed.
func (i *Instance) awaitPoint(ctx context.Context, point model.Point, limit time.Duration) (state model.InstanceState, err error) {
	err = i.await(ctx, limit, func(c *core) (bool, error) { return c.hasPoint(point), nil })
	if err != nil {
		return state, err
	}
	return ask(ctx, i, func(c *core) (model.InstanceState, error) { return c.state(i.Now()), nil })
}

// waitStatus holds whether the condition of a wait is met, and the channel that closes at the next change.
type waitStatus struct {
	met     bool
	changed <-chan struct{}
}

// await waits until the condition is met, returns an error, or the limit has passed. Waiting occupies no slot. A limit of 0
// evaluates the condition once.
func (i *Instance) await(ctx context.Context, limit time.Duration, condition func(*core) (bool, error)) error {
	var expired <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		status, err := ask(ctx, i, func(c *core) (waitStatus, error) {
			met, err := condition(c)
			return waitStatus{met: met, changed: c.changed}, err
		})
		if err != nil || status.met || limit <= 0 {
			return err
		}
		select {
		case <-status.changed:
		case <-expired:
			return nil
		case <-ctx.Done():
			return model.Refuse(model.CodeUnavailable, "%v", ctx.Err())
		}
	}
}
