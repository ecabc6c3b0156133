package control

import (
	"context"
	"sync/atomic"
	"time"

	"redwingspread/internal/boundary"
)

// Machine is a state machine without I/O that makes the control decisions; only the loop's goroutine calls it.
type Machine[E, A any, S comparable] interface {
	// Handle processes an event and returns the resulting actions.
	Handle(now time.Time, event E) []A
	// Snapshot returns an immutable view for concurrent readers; while nothing changes, it returns the same one.
	Snapshot() S
}

// Loop feeds events to a machine, runs each of its actions in a new goroutine and publishes its snapshots.
type Loop[E, A any, S comparable] struct {
	// Machine processes the events.
	Machine Machine[E, A, S]
	// Do runs an action outside the loop's goroutine and returns the event that reports its result.
	Do func(ctx context.Context, action A) E
	// Now returns the current time.
	Now func() time.Time
	// TickEvent returns the event to process on each tick.
	TickEvent func() E
	// TickInterval is the time between two ticks.
	TickInterval time.Duration
	// Failed is called with the error of an event whose processing panicked; the event is dropped.
	Failed func(error)

	events   chan E
	snapshot atomic.Pointer[S]
	changed  atomic.Pointer[chan struct{}]
}

// eventQueueSize is the number of events that can be queued for the loop.
const eventQueueSize = 1024

// New returns a loop; set its exported fields before Run.
func New[E, A any, S comparable](machine Machine[E, A, S]) *Loop[E, A, S] {
	l := &Loop[E, A, S]{
		Machine: machine,
		Now:     time.Now,
		Failed:  func(error) {},
		events:  make(chan E, eventQueueSize),
	}
	l.publish()
	return l
}

// Snapshot returns the newest snapshot; it never blocks.
func (l *Loop[E, A, S]) Snapshot() S {
	return *l.snapshot.Load()
}

// Changed returns a channel that is closed when the snapshot changes; call it before Snapshot to miss no change.
func (l *Loop[E, A, S]) Changed() <-chan struct{} {
	return *l.changed.Load()
}

// Offer queues an event, or returns false if the queue is full, so that requests never wait for the control loop.
func (l *Loop[E, A, S]) Offer(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		return false
	}
}

// Send queues an event; while the queue is full, it waits until the context ends.
func (l *Loop[E, A, S]) Send(ctx context.Context, event E) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run processes events until the context ends, waits for the running actions and then sends the context's error on done.
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

// step processes an event, starts the resulting actions and returns their number.
func (l *Loop[E, A, S]) step(ctx context.Context, event E, ended chan<- struct{}) int {
	var actions []A
	err := boundary.Run(func() error {
		actions = l.Machine.Handle(l.Now(), event)
		return nil
	})
	if err != nil {
		l.Failed(err)
	}
	l.publish()
	for _, action := range actions {
		go l.act(ctx, action, ended)
	}
	return len(actions)
}

// act runs an action, queues its result as an event and reports on ended.
func (l *Loop[E, A, S]) act(ctx context.Context, action A, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	event := l.Do(ctx, action)
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// publish stores the machine's snapshot if it has changed, and wakes those that wait for a change.
func (l *Loop[E, A, S]) publish() {
	snapshot := l.Machine.Snapshot()
	if l.snapshot.Load() != nil && *l.snapshot.Load() == snapshot {
		return
	}
	l.snapshot.Store(&snapshot)
	next := make(chan struct{})
	if previous := l.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}
