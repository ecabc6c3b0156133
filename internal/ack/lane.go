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

// idlePause is the time before a probe that settled nothing is repeated.
const idlePause = 2 * time.Millisecond

// lane settles the writes of one database in one term with shared probes.
type lane struct {
	gate    *Gate
	key     laneKey
	mu      sync.Mutex
	waiters map[*waiter]struct{}
	probers []*prober
}

// prober repeats one kind of probe while waiters need it.
type prober struct {
	// needs reports whether the probe can settle the waiter.
	needs func(*waiter) bool
	// ask makes one probe for the waiters and returns what each of them takes from it, or nil without an answer.
	ask func(ctx context.Context, points []model.Point) func(*Tally)

	running bool
	ended   chan struct{}
}

// newLane returns the lane of the database's term.
func newLane(gate *Gate, key laneKey, database *view.Database) *lane {
	l := &lane{gate: gate, key: key, waiters: make(map[*waiter]struct{})}
	for _, id := range database.Group {
		if known := database.Instance(id); known != nil && id != database.Primary {
			l.probers = append(l.probers, l.witness(known.Instance), l.holder(known.Instance))
		}
	}
	l.probers = append(l.probers, l.row())
	return l
}

// witness returns the prober that asks an instance for its term.
func (l *lane) witness(instance model.Instance) *prober {
	return &prober{
		needs: func(w *waiter) bool { return w.want != model.DurabilityReplica },
		ask: func(ctx context.Context, _ []model.Point) func(*Tally) {
			return l.answer(instance, func() (model.InstanceState, error) { return l.gate.Instance(instance).State(ctx) })
		},
	}
}

// holder returns the prober that waits until an instance holds the earliest write.
func (l *lane) holder(instance model.Instance) *prober {
	return &prober{
		needs: func(w *waiter) bool { return w.want == model.DurabilityReplica },
		ask: func(ctx context.Context, points []model.Point) func(*Tally) {
			return l.answer(instance, func() (model.InstanceState, error) {
				return l.gate.Instance(instance).Await(ctx, earliest(points), l.gate.Probe/2)
			})
		},
	}
}

// row returns the prober that reads the database's row.
func (l *lane) row() *prober {
	return &prober{
		needs: func(w *waiter) bool { return w.hedged },
		ask: func(ctx context.Context, _ []model.Point) func(*Tally) {
			row, err := l.gate.Row(ctx, l.key.database)
			if err != nil {
				return nil
			}
			return func(t *Tally) { t.Row(row) }
		},
	}
}

// answer asks an instance for its state, which a refusal may carry too.
func (l *lane) answer(instance model.Instance, ask func() (model.InstanceState, error)) func(*Tally) {
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
	return func(t *Tally) { t.Replica(state) }
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
func (l *lane) add(ctx context.Context, waiter *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters[waiter] = struct{}{}
	l.wake(ctx)
}

// remove takes a waiter out and returns the number of those left.
func (l *lane) remove(waiter *waiter) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, waiter)
	return len(l.waiters)
}

// hedge lets the row serve as witness of a waiter whose replicas are slow.
func (l *lane) hedge(ctx context.Context, waiter *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiter.hedged = true
	l.wake(ctx)
}

// give returns what a waiter has reached when its time is over.
func (l *lane) give(waiter *waiter) (model.Durability, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reached, ok := waiter.tally.Reached(); ok {
		return reached, nil
	}
	if waiter.tally.Replaced() {
		return model.DurabilityNone, model.OutcomeUnknown("term %d has been replaced", l.key.term)
	}
	return model.DurabilityNone, model.OutcomeUnknown("no witness that the primary was still in term %d", l.key.term)
}

// wake starts every prober that a waiter needs and that does not run, once its last run has reported its end.
func (l *lane) wake(ctx context.Context) {
	for _, prober := range l.probers {
		if prober.running || len(l.pending(prober)) == 0 {
			continue
		}
		if prober.ended != nil {
			<-prober.ended
		}
		prober.running = true
		prober.ended = make(chan struct{}, 1)
		go l.run(context.WithoutCancel(ctx), prober, prober.ended)
	}
}

// pending returns the waiters that a prober can settle.
func (l *lane) pending(prober *prober) []*waiter {
	var pending []*waiter
	for waiter := range l.waiters {
		if prober.needs(waiter) && !waiter.settled() {
			pending = append(pending, waiter)
		}
	}
	return pending
}

// run probes until no waiter needs it, and reports its end.
func (l *lane) run(ctx context.Context, prober *prober, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	for {
		pending, points := l.next(prober)
		if len(pending) == 0 {
			return
		}
		if !l.round(ctx, prober, pending, points) {
			_ = clock.Pause(ctx, idlePause)
		}
	}
}

// next returns the waiters of the next probe and their points; without any the prober stops.
func (l *lane) next(prober *prober) ([]*waiter, []model.Point) {
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

// round makes one probe and reports whether it settled a waiter.
func (l *lane) round(ctx context.Context, prober *prober, pending []*waiter, points []model.Point) bool {
	ctx, cancel := context.WithTimeout(ctx, l.gate.Probe)
	defer cancel()
	take := prober.ask(ctx, points)
	if take == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	settled := false
	for _, waiter := range pending {
		if waiter.settled() {
			continue
		}
		take(&waiter.tally)
		if waiter.settled() {
			reached, _ := waiter.tally.Reached()
			waiter.done <- reached
			settled = true
		}
	}
	return settled
}
