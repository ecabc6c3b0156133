package instance

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/standinapi"
)

// The times of replication.
const (
	longPollTimeout = 100 * time.Millisecond // how long a primary holds a request for its log when there is nothing new
	pullTimeout     = time.Second            // how long a replica waits for an answer
	pullRetryDelay  = 50 * time.Millisecond  // pause after a failed request
)

// replicate pulls the primary's log until the context ends and reports its own end on done.
func (i *Instance) replicate(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		i.pull(ctx)
		i.applyPending(ctx)
	}
	done <- ctx.Err()
}

// pull fetches one part of the primary's log, or waits when there is no primary to follow.
func (i *Instance) pull(ctx context.Context) {
	at, err := i.awaitPrimary(ctx)
	if err != nil {
		return
	}
	part, moved, err := i.fetchUnlessRedirected(ctx, at)
	if moved {
		return
	}
	if err != nil {
		clock.Pause(ctx, pullRetryDelay)
		return
	}
	_ = tell(ctx, i, func(c *core) error {
		c.receive(i.Now(), at, part)
		return nil
	})
}

// awaitPrimary waits until there is a primary to follow.
func (i *Instance) awaitPrimary(ctx context.Context) (at cursor, err error) {
	err = i.await(ctx, time.Hour, func(c *core) (bool, error) {
		at = c.cursor()
		return at.primary != "", nil
	})
	if err == nil && at.primary == "" {
		return at, model.Refuse(model.CodeUnavailable, "no primary to follow")
	}
	return at, err
}

// fetchUnlessRedirected fetches one part of the log, and gives up at once when the replica is told to follow another primary or term.
func (i *Instance) fetchUnlessRedirected(ctx context.Context, at cursor) (part logBatch, moved bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan bool, 1)
	go i.watchRedirect(ctx, at, cancel, ended)
	part, err = i.fetch(ctx, at)
	cancel()
	return part, <-ended, err
}

// watchRedirect cancels a fetch when the replica's primary or term changes, and reports on ended whether it did.
func (i *Instance) watchRedirect(ctx context.Context, at cursor, cancel context.CancelFunc, ended chan<- bool) {
	moved := false
	_ = i.await(ctx, pullTimeout, func(c *core) (bool, error) {
		now := c.cursor()
		moved = now.primary != at.primary || now.term != at.term
		return moved, nil
	})
	if moved {
		cancel()
	}
	ended <- moved
}

// fetch asks the primary for the log past the cursor.
func (i *Instance) fetch(ctx context.Context, at cursor) (part logBatch, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch log from %s: %w", at.primary, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	doer := outbound.Doer{HTTP: i.HTTP}
	client, err := standinapi.NewClient("http://"+string(at.primary), standinapi.WithClient(doer))
	if err != nil {
		return part, err
	}
	log, err := client.ReadLog(ctx, standinapi.ReadLogParams{
		Instance:      string(i.ID),
		Term:          uint64(at.term),
		AfterTerm:     uint64(at.after.Term),
		AfterPosition: uint64(at.after.Position),
	})
	if err != nil {
		return part, err
	}
	return logBatchOf(log)
}

// applyPending applies the fetched entries as they become due.
func (i *Instance) applyPending(ctx context.Context) {
	for ctx.Err() == nil {
		faults, changed := i.Faults.Watch()
		lag := i.Lag
		if faults.Lag != nil {
			lag = *faults.Lag
		}
		wait, err := ask(ctx, i, func(c *core) (time.Duration, error) { return c.applyDue(i.Now(), lag), nil })
		if err != nil || wait <= 0 {
			return
		}
		i.pauseUntilChange(ctx, wait, changed)
	}
}

// pauseUntilChange waits for the duration, a change of the faults or a change of the state.
func (i *Instance) pauseUntilChange(ctx context.Context, duration time.Duration, faults <-chan struct{}) {
	state, err := ask(ctx, i, func(c *core) (<-chan struct{}, error) { return c.changed, nil })
	if err != nil {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-faults:
	case <-state:
	case <-ctx.Done():
	}
}

// serveLog answers a replica, at once when there is anything new.
func (i *Instance) serveLog(ctx context.Context, replica model.Term, after model.Point) (part logBatch, err error) {
	err = i.await(ctx, longPollTimeout, func(c *core) (bool, error) {
		var isNew bool
		part, isNew, err = c.readLog(i.Now(), replica, after)
		return isNew, err
	})
	return part, err
}
