package operator

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// The times of the measurement.
const (
	trackEvery = 20 * time.Millisecond
	trackLimit = 30 * time.Second
)

// delay is the time from the acceptance of a version to a host's first report of it.
type delay struct {
	host    model.HostID
	version model.Version
	after   time.Duration
}

// tracker measures how soon the newest version that this host accepted is in force on each host.
type tracker struct {
	begun chan struct{} // holds a token while a measurement waits to be run

	mu      sync.Mutex
	version model.Version
	began   time.Time
	delays  []delay
	seen    map[model.HostID]bool
}

// newTracker returns a tracker without a measurement.
func newTracker() *tracker {
	return &tracker{begun: make(chan struct{}, 1)}
}

// begin starts the measurement of a version.
func (t *tracker) begin(version model.Version, now time.Time) {
	t.mu.Lock()
	t.version = version
	t.began = now
	t.delays = nil
	t.seen = map[model.HostID]bool{}
	t.mu.Unlock()
	select {
	case t.begun <- struct{}{}:
	default:
	}
}

// run waits for measurements and observes the views while one is under way.
func (t *tracker) run(ctx context.Context, now func() time.Time, newest func() *view.View) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.begun:
		}
		if err := t.measure(ctx, now, newest); err != nil {
			return err
		}
	}
}

// measure observes the views until every live host has the version or the limit is over.
func (t *tracker) measure(ctx context.Context, now func() time.Time, newest func() *view.View) error {
	ticker := time.NewTicker(trackEvery)
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

// observe records the hosts that newly have the version and reports whether the measurement is over.
func (t *tracker) observe(v *view.View, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := now.Sub(t.began)
	missing := 0
	for id, host := range v.Hosts {
		switch {
		case t.seen[id]:
		case host.Configuration >= t.version:
			t.seen[id] = true
			t.delays = append(t.delays, delay{host: id, version: t.version, after: after})
		case host.Liveness == view.Alive:
			missing++
		}
	}
	return missing == 0 || after > trackLimit
}

// list returns the delays measured so far.
func (t *tracker) list() []delay {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]delay(nil), t.delays...)
}
