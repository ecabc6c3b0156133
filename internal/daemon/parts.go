package daemon

import (
	"context"
	"errors"
	"fmt"
)

// component is one goroutine of the daemon; it reports its end on done.
type component struct {
	name string
	run  func(ctx context.Context, done chan<- error)
}

// runningComponent is a part that was started.
type runningComponent struct {
	name   string
	cancel context.CancelFunc
	result chan error
}

// start starts a part; fail is called when it ends with an error of its own.
func start(ctx context.Context, p component, fail context.CancelCauseFunc) *runningComponent {
	ctx, stop := context.WithCancel(ctx)
	r := &runningComponent{name: p.name, cancel: stop, result: make(chan error, 1)}
	go r.watch(ctx, p, fail)
	return r
}

// watch runs the part and hands on how it ended.
func (r *runningComponent) watch(ctx context.Context, p component, fail context.CancelCauseFunc) {
	done := make(chan error, 1)
	p.run(ctx, done)
	err := <-done
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", p.name, err)
		fail(err)
	}
	r.result <- err
}

// stopAndWait ends the part and returns its error.
func (r *runningComponent) stopAndWait() error {
	r.cancel()
	return <-r.result
}
