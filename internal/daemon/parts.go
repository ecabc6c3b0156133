package daemon

import (
	"context"
	"errors"
	"fmt"
)

// part is one goroutine of the daemon; it reports its end on done.
type part struct {
	name string
	run  func(ctx context.Context, done chan<- error)
}

// running is a part that was started.
type running struct {
	name string
	stop context.CancelFunc
	end  chan error
}

// start starts a part; fail is called when it ends with an error of its own.
func start(ctx context.Context, p part, fail context.CancelCauseFunc) *running {
	ctx, stop := context.WithCancel(ctx)
	r := &running{name: p.name, stop: stop, end: make(chan error, 1)}
	go r.watch(ctx, p, fail)
	return r
}

// watch runs the part and hands on how it ended.
func (r *running) watch(ctx context.Context, p part, fail context.CancelCauseFunc) {
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
	r.end <- err
}

// wait ends the part and returns its error.
func (r *running) wait() error {
	r.stop()
	return <-r.end
}
