package owner

import (
	"context"
	"sync"

	"redwingspread/internal/model"
)

// requestKey identifies a request of a database.
type requestKey struct {
	database model.DatabaseID
	request  model.RequestID
}

// attempt is an attempt in progress; its result is set before done is closed.
type attempt struct {
	done   chan struct{}
	result model.Result
	err    error
}

// attempts serialises the attempts of each request; those that waited share a successful result.
type attempts struct {
	mutex   sync.Mutex
	running map[requestKey]*attempt
}

// newAttempts returns an empty set of attempts.
func newAttempts() *attempts {
	return &attempts{running: map[requestKey]*attempt{}}
}

// do runs the request, or waits for the attempt in progress and returns its result; after a failure it tries again.
func (a *attempts) do(ctx context.Context, key requestKey, run func() (model.Result, error)) (model.Result, error) {
	for {
		current, first := a.join(key)
		if first {
			current.result, current.err = run()
			a.finish(key, current)
			return current.result, current.err
		}
		if err := current.wait(ctx); err != nil {
			return model.Result{}, err
		}
		if current.err == nil {
			result := current.result
			result.Repeated = true
			return result, nil
		}
	}
}

// waitIdle waits until no attempt of the request is in progress.
func (a *attempts) waitIdle(ctx context.Context, key requestKey) error {
	for {
		a.mutex.Lock()
		current := a.running[key]
		a.mutex.Unlock()
		if current == nil {
			return nil
		}
		if err := current.wait(ctx); err != nil {
			return err
		}
	}
}

// join returns the attempt in progress, or a new one that the caller must run and finish.
func (a *attempts) join(key requestKey) (current *attempt, first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if current = a.running[key]; current != nil {
		return current, false
	}
	current = &attempt{done: make(chan struct{})}
	a.running[key] = current
	return current, true
}

// finish removes an attempt and wakes those that wait for it.
func (a *attempts) finish(key requestKey, current *attempt) {
	a.mutex.Lock()
	delete(a.running, key)
	a.mutex.Unlock()
	close(current.done)
}

// wait waits until the attempt has finished; when ctx ends first, the outcome of the request is unknown.
func (a *attempt) wait(ctx context.Context) error {
	select {
	case <-a.done:
		return nil
	case <-ctx.Done():
		return model.OutcomeUnknown("another attempt of the request is in progress")
	}
}
