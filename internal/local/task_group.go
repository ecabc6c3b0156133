package local

import (
	"context"
	"errors"
)

// taskGroup is a set of goroutines that are stopped together.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results []chan error // one per goroutine
}

// newTaskGroup returns an empty task group whose context derives from the parent.
func newTaskGroup(parent context.Context) *taskGroup {
	ctx, cancel := context.WithCancel(parent)
	return &taskGroup{ctx: ctx, cancel: cancel}
}

// run starts a goroutine of the group, which sends its error to done when it ends.
func (g *taskGroup) run(start func(ctx context.Context, done chan<- error)) {
	done := make(chan error, 1)
	g.results = append(g.results, done)
	go start(g.ctx, done)
}

// stop cancels every goroutine, waits for them and returns their errors. Later calls do nothing.
func (g *taskGroup) stop() error {
	g.cancel()
	var err error
	for _, result := range g.results {
		if runErr := <-result; !errors.Is(runErr, context.Canceled) {
			err = errors.Join(err, runErr)
		}
	}
	g.results = nil
	return err
}
