package local

import (
	"context"
	"errors"
)

// group is a set of goroutines that end together.
type group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results []chan error
}

// newGroup returns an empty group.
func newGroup(parent context.Context) *group {
	ctx, cancel := context.WithCancel(parent)
	return &group{ctx: ctx, cancel: cancel}
}

// run starts one goroutine of the group.
func (g *group) run(start func(ctx context.Context, done chan<- error)) {
	done := make(chan error, 1)
	g.results = append(g.results, done)
	go start(g.ctx, done)
}

// stop ends every goroutine and returns their errors; a group that was stopped stays so.
func (g *group) stop() error {
	g.cancel()
	var err error
	for _, end := range g.results {
		if ended := <-end; !errors.Is(ended, context.Canceled) {
			err = errors.Join(err, ended)
		}
	}
	g.results = nil
	return err
}
