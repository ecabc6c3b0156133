package operator

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// The times of a measurement.
const (
	pollInterval     = 20 * time.Millisecond
	measurementLimit = 30 * time.Second
)

// rolloutDelay is the time from the acceptance of a version until a host first reported it.
type rolloutDelay struct {
	host    model.HostID
	version model.Version
	elapsed time.Duration
}

// rolloutTracker measures how soon the newest configuration version that this host accepted is in force on each host.
type rolloutTracker struct {
	started chan struct{} // signals that a measurement has been started

	mu        sync.Mutex
	version   model.Version
	startedAt time.Time // when the version was accepted
	delays    []rolloutDelay
	seen      map[model.HostID]bool // hosts that have reported the version
}

// newRolloutTracker returns a tracker with no measurement in progress.
func newRolloutTracker() *rolloutTracker {
	return &rolloutTracker{started: make(chan struct{}, 1)}
}

// start begins the measurement of a version and discards that of an earlier one.
func (t *rolloutTracker) start(version model.Version, now time.Time) {
	t.mu.Lock()
	t.version = version
	t.startedAt = now
	t.delays = nil
	t.seen = map[model.HostID]bool{}
	t.mu.Unlock()
	select {
	case t.started <- struct{}{}:
	default:
	}
}

// run waits for measurements to be started and runs each until it is finished.
func (t *rolloutTracker) run(ctx context.Context, now func() time.Time, newest func() *view.View) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.started:
		}
		if err := t.measure(ctx, now, newest); err != nil {
			return err
		}
	}
}

// measure polls the view until every live host has the version or the time limit has passed.
func (t *rolloutTracker) measure(ctx context.Context, now func() time.Time, newest func() *view.View) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !t.observe(newest(), now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// observe records the hosts that newly have the version and reports whether the measurement is finished.
func (t *rolloutTracker) observe(v *view.View, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now.Sub(t.startedAt)
	missing := 0
	for id, host := range v.Hosts {
		switch {
		case t.seen[id]:
		case host.Configuration >= t.version:
			t.seen[id] = true
			t.delays = append(t.delays, rolloutDelay{host: id, version: t.version, elapsed: elapsed})
		case host.Liveness == view.Alive:
			missing++
		}
	}
	return missing == 0 || elapsed > measurementLimit
}

// results returns the delays measured so far.
func (t *rolloutTracker) results() []rolloutDelay {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]rolloutDelay(nil), t.delays...)
}
