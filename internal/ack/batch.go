package ack

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// retryPause is the time before a probe is repeated that satisfied no waiter.
const retryPause = 2 * time.Millisecond

// batch holds the waiting writes of a database in one term, which share probes.
type batch struct {
	gate    *Gate
	key     batchKey
	mu      sync.Mutex
	waiters map[*waiter]struct{}
	probers []*prober // two for each replica, and one for the row
}

// prober repeats one kind of probe while waiters need it.
type prober struct {
	// neededBy reports whether the waiter needs this kind of probe.
	neededBy func(*waiter) bool
	// probe probes once for the given points and returns a function that records the answer in a tally, or nil without an answer.
	probe func(ctx context.Context, points []model.Point) func(*Tally)

	running bool          // whether runProber is running
	stopped chan struct{} // receives the end of the newest run
}

// newBatch returns an empty batch for the database's current term.
func newBatch(gate *Gate, key batchKey, database *view.Database) *batch {
	b := &batch{gate: gate, key: key, waiters: make(map[*waiter]struct{})}
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary {
			b.probers = append(b.probers, b.termProber(known.Instance), b.writeProber(known.Instance))
		}
	}
	b.probers = append(b.probers, b.rowProber())
	return b
}

// termProber returns the prober that reads an instance's term.
func (b *batch) termProber(instance model.Instance) *prober {
	return &prober{
		neededBy: func(w *waiter) bool { return w.want != model.DurabilityReplica },
		probe: func(ctx context.Context, _ []model.Point) func(*Tally) {
			return b.readState(instance, func() (model.InstanceState, error) { return b.gate.Client(instance).State(ctx) })
		},
	}
}

// writeProber returns the prober that waits until an instance holds the earliest of the writes.
func (b *batch) writeProber(instance model.Instance) *prober {
	return &prober{
		neededBy: func(w *waiter) bool { return w.want == model.DurabilityReplica },
		probe: func(ctx context.Context, points []model.Point) func(*Tally) {
			return b.readState(instance, func() (model.InstanceState, error) {
				return b.gate.Client(instance).Await(ctx, earliest(points), b.gate.ProbeTimeout/2)
			})
		},
	}
}

// rowProber returns the prober that reads the database's row.
func (b *batch) rowProber() *prober {
	return &prober{
		neededBy: func(w *waiter) bool { return w.rowAllowed },
		probe: func(ctx context.Context, _ []model.Point) func(*Tally) {
			row, err := b.gate.ReadRow(ctx, b.key.database)
			if err != nil {
				return nil
			}
			return func(t *Tally) { t.AddRow(row) }
		},
	}
}

// readState returns a function that records the instance's state in a tally; the state may also come with a refusal.
func (b *batch) readState(instance model.Instance, read func() (model.InstanceState, error)) func(*Tally) {
	state, err := read()
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.State != nil {
		state, err = *refusal.State, nil
	}
	if err != nil || state.Instance != instance.ID {
		return nil
	}
	if b.gate.Observe != nil {
		b.gate.Observe(state)
	}
	return func(t *Tally) { t.AddReplica(state) }
}

// earliest returns the lowest of the points.
func earliest(points []model.Point) model.Point {
	first := points[0]
	for _, point := range points[1:] {
		if point.Compare(first) < 0 {
			first = point
		}
	}
	return first
}

// add adds a waiter and starts the probers that it needs.
func (b *batch) add(ctx context.Context, waiter *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters[waiter] = struct{}{}
	b.startProbers(ctx)
}

// remove removes a waiter and returns the number of those left.
func (b *batch) remove(waiter *waiter) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiters, waiter)
	return len(b.waiters)
}

// allowRow allows the row to prove the primary's term for a waiter whose replicas are slow.
func (b *batch) allowRow(ctx context.Context, waiter *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiter.rowAllowed = true
	b.startProbers(ctx)
}

// result returns the durability that a waiter has reached by the end of its time.
func (b *batch) result(waiter *waiter) (model.Durability, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reached, ok := waiter.tally.Durability(); ok {
		return reached, nil
	}
	if waiter.tally.Superseded() {
		return model.DurabilityNone, model.OutcomeUnknown("term %d has been replaced", b.key.term)
	}
	return model.DurabilityNone, model.OutcomeUnknown("no witness that the primary was still in term %d", b.key.term)
}

// startProbers starts each prober that is needed and not running, after its previous run has ended; the caller holds the mutex.
func (b *batch) startProbers(ctx context.Context) {
	for _, prober := range b.probers {
		if prober.running || len(b.pending(prober)) == 0 {
			continue
		}
		if prober.stopped != nil {
			<-prober.stopped
		}
		prober.running = true
		prober.stopped = make(chan struct{}, 1)
		go b.runProber(context.WithoutCancel(ctx), prober, prober.stopped)
	}
}

// pending returns the unsatisfied waiters that need a prober; the caller holds the mutex.
func (b *batch) pending(prober *prober) []*waiter {
	var pending []*waiter
	for waiter := range b.waiters {
		if prober.neededBy(waiter) && !waiter.satisfied() {
			pending = append(pending, waiter)
		}
	}
	return pending
}

// runProber probes until no waiter needs the prober, then reports on stopped.
func (b *batch) runProber(ctx context.Context, prober *prober, stopped chan<- struct{}) {
	defer func() { stopped <- struct{}{} }()
	for {
		pending, points := b.next(prober)
		if len(pending) == 0 {
			return
		}
		if !b.probeOnce(ctx, prober, pending, points) {
			_ = clock.Pause(ctx, retryPause)
		}
	}
}

// next returns the waiters for the next probe and their points; without any, the prober is marked as not running.
func (b *batch) next(prober *prober) ([]*waiter, []model.Point) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.pending(prober)
	prober.running = len(pending) > 0
	points := make([]model.Point, 0, len(pending))
	for _, waiter := range pending {
		points = append(points, waiter.tally.Point)
	}
	return pending, points
}

// probeOnce probes once and reports whether this satisfied a waiter.
func (b *batch) probeOnce(ctx context.Context, prober *prober, pending []*waiter, points []model.Point) bool {
	ctx, cancel := context.WithTimeout(ctx, b.gate.ProbeTimeout)
	defer cancel()
	record := prober.probe(ctx, points)
	if record == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	anySatisfied := false
	for _, waiter := range pending {
		if waiter.satisfied() {
			continue
		}
		record(&waiter.tally)
		if waiter.satisfied() {
			reached, _ := waiter.tally.Durability()
			waiter.done <- reached
			anySatisfied = true
		}
	}
	return anySatisfied
}
