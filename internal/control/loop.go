package control

import (
	"context"
	"sync/atomic"
	"time"
)

// Machine decides: it is pure state, reached by the loop's goroutine alone.
type Machine[E, A any, S comparable] interface {
	// Handle takes one event and returns the actions that follow from it.
	Handle(now time.Time, event E) []A
	// Snapshot returns an immutable view for traffic, the same one while nothing changes.
	Snapshot() S
}

// Loop feeds events to a machine, runs its actions in goroutines of their own and publishes its snapshots.
type Loop[E, A any, S comparable] struct {
	// Machine decides what follows from each event.
	Machine Machine[E, A, S]
	// Do runs one action outside the loop's goroutine and returns the event that reports its end.
	Do func(ctx context.Context, action A) E
	// Now reads the clock.
	Now func() time.Time
	// TickEvent makes the event that each tick sends.
	TickEvent func() E
	// TickInterval is the time between two tick events.
	TickInterval time.Duration

	events   chan E
	snapshot atomic.Pointer[S]
	changed  atomic.Pointer[chan struct{}]
}

// eventQueueSize is the number of events that may wait for the loop.
const eventQueueSize = 1024

// New returns a loop whose exported fields are to be set before Run.
func New[E, A any, S comparable](machine Machine[E, A, S]) *Loop[E, A, S] {
	l := &Loop[E, A, S]{
		Machine: machine,
		Now:     time.Now,
		events:  make(chan E, eventQueueSize),
	}
	l.publish()
	return l
}

// Snapshot returns the newest view; it never blocks.
func (l *Loop[E, A, S]) Snapshot() S {
	return *l.snapshot.Load()
}

// Changed returns a channel that closes at the next change of the snapshot; take it before the snapshot to miss none.
func (l *Loop[E, A, S]) Changed() <-chan struct{} {
	return *l.changed.Load()
}

// Offer hands an event to the loop and reports false when the queue is full, so that traffic never waits for control.
func (l *Loop[E, A, S]) Offer(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// Send hands an event to the loop and waits for room until the context ends.
func (l *Loop[E, A, S]) Send(ctx context.Context, event E) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run owns the machine until the context ends, waits for its actions to end and reports its own end on done.
func (l *Loop[E, A, S]) Run(ctx context.Context, done chan<- error) {
	running := 0
	ended := make(chan struct{}, eventQueueSize)
	ticker := time.NewTicker(l.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ended:
			running--
		case <-ticker.C:
			running += l.step(ctx, l.TickEvent(), ended)
		case event := <-l.events:
			running += l.step(ctx, event, ended)
		}
	}
	for ; running > 0; running-- {
		<-ended
	}
	done <- ctx.Err()
}

// step handles one event, starts the actions that follow and returns their number.
func (l *Loop[E, A, S]) step(ctx context.Context, event E, ended chan<- struct{}) int {
	actions := l.Machine.Handle(l.Now(), event)
	l.publish()
	for _, action := range actions {
		go l.act(ctx, action, ended)
	}
	return len(actions)
}

// act runs one action and reports its result as an event, then its end.
func (l *Loop[E, A, S]) act(ctx context.Context, action A, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	event := l.Do(ctx, action)
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// publish stores a new snapshot and wakes those who wait for a change.
func (l *Loop[E, A, S]) publish() {
	snapshot := l.Machine.Snapshot()
	if l.snapshot.Load() != nil && *l.snapshot.Load() == snapshot {
		return
	}
	l.snapshot.Store(&snapshot)
	next := make(chan struct{})
	if former := l.changed.Swap(&next); former != nil {
		close(*former)
	}
}
