package standin

import (
	"context"
	"time"

	"redwingspread/internal/model"
)

// State is owned by one goroutine, which runs commands on it one after the other.
type State[S any] struct {
	commands chan func(*S)
	ended    chan struct{}
}

// NewState returns a state that takes commands once it runs.
func NewState[S any]() *State[S] {
	return &State[S]{commands: make(chan func(*S)), ended: make(chan struct{})}
}

// Run owns the state until the context ends and calls sweep once each interval.
func (s *State[S]) Run(ctx context.Context, owned *S, interval time.Duration, sweep func(*S)) {
	defer close(s.ended)
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
func Ask[S, T any](ctx context.Context, s *State[S], command func(*S) (T, error)) (value T, err error) {
	replies := make(chan reply[T], 1)
	run := func(owned *S) {
		value, err := command(owned)
		replies <- reply[T]{value, err}
	}
	select {
	case s.commands <- run:
		r := <-replies
		return r.value, r.err
	case <-s.ended:
		return value, model.Refuse(model.CodeUnavailable, "stand-in has stopped")
	case <-ctx.Done():
		return value, model.Refuse(model.CodeUnavailable, "%v", ctx.Err())
	}
}
