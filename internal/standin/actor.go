package standin

import (
	"context"
	"time"

	"redwingspread/internal/model"
)

// Actor confines a state to one goroutine, which runs commands on the state one at a time.
type Actor[S any] struct {
	commands chan func(*S)
	stopped  chan struct{}
}

// NewActor returns an actor, which accepts commands once it runs.
func NewActor[S any]() *Actor[S] {
	return &Actor[S]{commands: make(chan func(*S)), stopped: make(chan struct{})}
}

// Run executes commands on the state and calls periodic once per interval, until the context ends.
func (a *Actor[S]) Run(ctx context.Context, state *S, interval time.Duration, periodic func(*S)) {
	defer close(a.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			periodic(state)
		case command := <-a.commands:
			command(state)
		}
	}
}

// reply is the result of a command.
type reply[T any] struct {
	value T
	err   error
}

// Ask runs a command on the state and returns its result, or a refusal if the actor has stopped or the context ends.
func Ask[S, T any](ctx context.Context, a *Actor[S], command func(*S) (T, error)) (value T, err error) {
	replies := make(chan reply[T], 1)
	run := func(state *S) {
		value, err := command(state)
		replies <- reply[T]{value, err}
	}
	select {
	case a.commands <- run:
		r := <-replies
		return r.value, r.err
	case <-a.stopped:
		return value, model.Refuse(model.CodeUnavailable, "stand-in has stopped")
	case <-ctx.Done():
		return value, model.Refuse(model.CodeUnavailable, "%v", ctx.Err())
	}
}
