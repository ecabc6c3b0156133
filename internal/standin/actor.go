package standin

import (
	"context"
	"time"

	"redwingspread/internal/model"
)

// Actor is owned by one goroutine, which runs commands on it one after the other.
type Actor[S any] struct {
	commands chan func(*S)
	stopped  chan struct{}
}

// NewActor returns a state that takes commands once it runs.
func NewActor[S any]() *Actor[S] {
	return &Actor[S]{commands: make(chan func(*S)), stopped: make(chan struct{})}
}

// Run owns the state until the context ends and calls sweep once each interval.
func (s *Actor[S]) Run(ctx context.Context, owned *S, interval time.Duration, sweep func(*S)) {
	defer close(s.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sweep(owned)
		case command := <-s.commands:
			command(owned)
		}
	}
}

// reply is the result of one command.
type reply[T any] struct {
	value T
	err   error
}

// Ask runs a command on the state and returns its result, or a refusal when the state is no longer owned.
func Ask[S, T any](ctx context.Context, s *Actor[S], command func(*S) (T, error)) (value T, err error) {
	replies := make(chan reply[T], 1)
	run := func(owned *S) {
		value, err := command(owned)
		replies <- reply[T]{value, err}
	}
	select {
	case s.commands <- run:
		r := <-replies
		return r.value, r.err
	case <-s.stopped:
		return value, model.Refuse(model.CodeUnavailable, "stand-in has stopped")
	case <-ctx.Done():
		return value, model.Refuse(model.CodeUnavailable, "%v", ctx.Err())
	}
}
