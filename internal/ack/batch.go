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

// retryPause is the time before a probe that settled nothing is repeated.
const retryPause = 2 * time.Millisecond

// batch settles the writes of one database in one term with shared probes.
type batch struct {
	gate    *Gate
	key     batchKey
	mu      sync.Mutex
	waiters map[*waiter]struct{}
	probers []*prober
}

// prober repeats one kind of probe while waiters need it.
type prober struct {
	// canSatisfy reports whether the probe can settle the waiter.
	canSatisfy func(*waiter) bool
	// probe makes one probe for the waiters and returns what each of them takes from it, or nil without an answer.
	probe func(ctx context.Context, points []model.Point) func(*Tally)

	running bool
	stopped chan struct{}
}

// newBatch returns the lane of the database's term.
func newBatch(gate *Gate, key batchKey, database *view.Database) *batch {
	l := &batch{gate: gate, key: key, waiters: make(map[*waiter]struct{})}
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary {
			l.probers = append(l.probers, l.termProber(known.Instance), l.writeProber(known.Instance))
		}
	}
	l.probers = append(l.probers, l.rowProber())
	return l
}

// termProber returns the prober that asks an instance for its term.
func (l *batch) termProber(instance model.Instance) *prober {
	return &prober{
		canSatisfy: func(w *waiter) bool { return w.want != model.DurabilityReplica },
		probe: func(ctx context.Context, _ []model.Point) func(*Tally) {
			return l.readState(instance, func() (model.InstanceState, error) { return l.gate.Client(instance).State(ctx) })
		},
	}
}

// writeProber returns the prober that waits until an instance holds the earliest write.
func (l *batch) writeProber(instance model.Instance) *prober {
	return &prober{
		canSatisfy: func(w *waiter) bool { return w.want == model.DurabilityReplica },
		probe: func(ctx context.Context, points []model.Point) func(*Tally) {
			return l.readState(instance, func() (model.InstanceState, error) {
				return l.gate.Client(instance).Await(ctx, earliest(points), l.gate.ProbeTimeout/2)
			})
		},
	}
}

// rowProber returns the prober that reads the database's row.
func (l *batch) rowProber() *prober {
	return &prober{
		canSatisfy: func(w *waiter) bool { return w.rowAllowed },
		probe: func(ctx context.Context, _ []model.Point) func(*Tally) {
			row, err := l.gate.ReadRow(ctx, l.key.database)
			if err != nil {
				return nil
			}
			return func(t *Tally) { t.AddRow(row) }
		},
	}
}

// readState asks an instance for its state, which a refusal may carry too.
func (l *batch) readState(instance model.Instance, ask func() (model.InstanceState, error)) func(*Tally) {
	state, err := ask()
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.State != nil {
		state, err = *refusal.State, nil
	}
	if err != nil || state.Instance != instance.ID {
		return nil
	}
	if l.gate.Observe != nil {
		l.gate.Observe(state)
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

// add lets a waiter in and starts the probers that it needs.
func (l *batch) add(ctx context.Context, waiter *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters[waiter] = struct{}{}
	l.startProbers(ctx)
}

// remove takes a waiter out and returns the number of those left.
func (l *batch) remove(waiter *waiter) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, waiter)
	return len(l.waiters)
}

// allowRow lets the row serve as witness of a waiter whose replicas are slow.
func (l *batch) allowRow(ctx context.Context, waiter *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiter.rowAllowed = true
	l.startProbers(ctx)
}

// result returns what a waiter has reached when its time is over.
func (l *batch) result(waiter *waiter) (model.Durability, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reached, ok := waiter.tally.Durability(); ok {
		return reached, nil
	}
	if waiter.tally.Superseded() {
		return model.DurabilityNone, model.Doubt("term %d has been replaced", l.key.term)
	}
	return model.DurabilityNone, model.Doubt("no witness that the primary was still in term %d", l.key.term)
}

// startProbers starts every prober that a waiter needs and that does not run, once its last run has reported its end.
func (l *batch) startProbers(ctx context.Context) {
	for _, prober := range l.probers {
		if prober.running || len(l.pending(prober)) == 0 {
			continue
		}
		if prober.stopped != nil {
			<-prober.stopped
		}
		prober.running = true
		prober.stopped = make(chan struct{}, 1)
		go l.runProber(context.WithoutCancel(ctx), prober, prober.stopped)
	}
}

// pending returns the waiters that a prober can settle.
func (l *batch) pending(prober *prober) []*waiter {
	var pending []*waiter
	for waiter := range l.waiters {
		if prober.canSatisfy(waiter) && !waiter.satisfied() {
			pending = append(pending, waiter)
		}
	}
	return pending
}

// runProber probes until no waiter needs it, and reports its end.
func (l *batch) runProber(ctx context.Context, prober *prober, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	for {
		pending, points := l.next(prober)
		if len(pending) == 0 {
			return
		}
		if !l.probeOnce(ctx, prober, pending, points) {
			_ = clock.Pause(ctx, retryPause)
		}
	}
}

// next returns the waiters of the next probe and their points; without any the prober stops.
func (l *batch) next(prober *prober) ([]*waiter, []model.Point) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.pending(prober)
	prober.running = len(pending) > 0
	points := make([]model.Point, 0, len(pending))
	for _, waiter := range pending {
		points = append(points, waiter.tally.Point)
	}
	return pending, points
}

// probeOnce makes one probe and reports whether it settled a waiter.
func (l *batch) probeOnce(ctx context.Context, prober *prober, pending []*waiter, points []model.Point) bool {
	ctx, cancel := context.WithTimeout(ctx, l.gate.ProbeTimeout)
	defer cancel()
	take := prober.probe(ctx, points)
	if take == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	settled := false
	for _, waiter := range pending {
		if waiter.satisfied() {
			continue
		}
		take(&waiter.tally)
		if waiter.satisfied() {
			reached, _ := waiter.tally.Durability()
			waiter.done <- reached
			settled = true
		}
	}
	return settled
}
