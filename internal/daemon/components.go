package daemon

import (
	"context"
	"errors"
	"fmt"
)

// component is a named part of the daemon; run sends its result on done when it ends.
type component struct {
	name string
	run  func(ctx context.Context, done chan<- error)
}

// runningComponent is a component that was started in its own goroutine.
type runningComponent struct {
	name   string
	cancel context.CancelFunc
	result chan error
}

// start starts a component; fail is called when it ends with an error other than its cancellation.
func start(ctx context.Context, c component, fail context.CancelCauseFunc) *runningComponent {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningComponent{name: c.name, cancel: cancel, result: make(chan error, 1)}
	go r.watch(ctx, c, fail)
	return r
}

// watch runs the component and passes on its result.
func (r *runningComponent) watch(ctx context.Context, c component, fail context.CancelCauseFunc) {
	done := make(chan error, 1)
	c.run(ctx, done)
	err := <-done
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", c.name, err)
		fail(err)
	}
	r.result <- err
}

// stopAndWait cancels the component and returns its result.
func (r *runningComponent) stopAndWait() error {
	r.cancel()
	return <-r.result
}
