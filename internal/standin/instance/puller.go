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

// Timing of replication.
const (
	longPollTimeout = 100 * time.Millisecond // time for which a primary holds a log request while there is nothing new
	pullTimeout     = time.Second            // time for which a replica waits for a response
	pullRetryDelay  = 50 * time.Millisecond  // delay after a failed request
)

// replicate pulls and applies the primary's log until the context ends, then sends the reason on done.
func (i *Instance) replicate(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		i.pull(ctx)
		i.applyPending(ctx)
	}
	done <- ctx.Err()
}

// pull fetches one batch of the primary's log. It waits while there is no primary to follow.
func (i *Instance) pull(ctx context.Context) {
	from, err := i.awaitPrimary(ctx)
	if err != nil {
		return
	}
	batch, redirected, err := i.fetchUnlessRedirected(ctx, from)
	if redirected {
		return
	}
	if err != nil {
		clock.Pause(ctx, pullRetryDelay)
		return
	}
	_ = tell(ctx, i, func(c *core) error {
		c.receive(i.Now(), from, batch)
		return nil
	})
}

// awaitPrimary waits until there is a primary to follow.
func (i *Instance) awaitPrimary(ctx context.Context) (from cursor, err error) {
	err = i.await(ctx, time.Hour, func(c *core) (bool, error) {
		from = c.cursor()
		return from.primary != "", nil
	})
	if err == nil && from.primary == "" {
		return from, model.Refuse(model.CodeUnavailable, "no primary to follow")
	}
	return from, err
}

// fetchUnlessRedirected fetches one batch of the log. It gives up as soon as the replica's primary or term changes.
func (i *Instance) fetchUnlessRedirected(ctx context.Context, from cursor) (batch logBatch, redirected bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan bool, 1)
	go i.watchRedirect(ctx, from, cancel, done)
	batch, err = i.fetch(ctx, from)
	cancel()
	return batch, <-done, err
}

// watchRedirect cancels a fetch when the replica's primary or term changes, and sends on done whether that happened.
func (i *Instance) watchRedirect(ctx context.Context, from cursor, cancel context.CancelFunc, done chan<- bool) {
	redirected := false
	_ = i.await(ctx, pullTimeout, func(c *core) (bool, error) {
		current := c.cursor()
		redirected = current.primary != from.primary || current.term != from.term
		return redirected, nil
	})
	if redirected {
		cancel()
	}
	done <- redirected
}

// fetch requests the log after the cursor from the primary.
func (i *Instance) fetch(ctx context.Context, from cursor) (batch logBatch, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch log from %s: %w", from.primary, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	doer := outbound.Doer{HTTP: i.HTTP}
	client, err := standinapi.NewClient("http://"+string(from.primary), standinapi.WithClient(doer))
	if err != nil {
		return batch, err
	}
	log, err := client.ReadLog(ctx, standinapi.ReadLogParams{
		Instance:      string(i.ID),
		Term:          uint64(from.term),
		AfterTerm:     uint64(from.after.Term),
		AfterPosition: uint64(from.after.Position),
	})
	if err != nil {
		return batch, err
	}
	return logBatchOf(log)
}

// applyPending applies the fetched entries as they become due, until none is left.
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

// pauseUntilChange waits until the duration has passed or the faults or the state change.
func (i *Instance) pauseUntilChange(ctx context.Context, duration time.Duration, faultsChanged <-chan struct{}) {
	stateChanged, err := ask(ctx, i, func(c *core) (<-chan struct{}, error) { return c.changed, nil })
	if err != nil {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-faultsChanged:
	case <-stateChanged:
	case <-ctx.Done():
	}
}

// serveLog returns the log to a replica by long polling: as soon as there is anything new, or after longPollTimeout.
func (i *Instance) serveLog(ctx context.Context, replicaTerm model.Term, after model.Point) (batch logBatch, err error) {
	err = i.await(ctx, longPollTimeout, func(c *core) (bool, error) {
		var isNew bool
		batch, isNew, err = c.readLog(i.Now(), replicaTerm, after)
		return isNew, err
	})
	return batch, err
}
