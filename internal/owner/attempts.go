package owner

import (
	"context"
	"sync"

	"redwingspread/internal/model"
)

// requestKey names one request of a database.
type requestKey struct {
	database model.DatabaseID
	request  model.RequestID
}

// attempt is one attempt in progress; its result is set before done closes.
type attempt struct {
	done   chan struct{}
	result model.Result
	err    error
}

// attempts lets attempts of one request run one after the other, and share the first result.
type attempts struct {
	mutex   sync.Mutex
	running map[requestKey]*attempt
}

// newAttempts returns an empty set of attempts.
func newAttempts() *attempts {
	return &attempts{running: map[requestKey]*attempt{}}
}

// do runs the request, or returns the result of the attempt that is in progress.
func (f *attempts) do(ctx context.Context, key requestKey, run func() (model.Result, error)) (model.Result, error) {
	for {
		current, first := f.join(key)
		if first {
			current.result, current.err = run()
			f.finish(key, current)
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
func (f *attempts) waitIdle(ctx context.Context, key requestKey) error {
	for {
		f.mutex.Lock()
		current := f.running[key]
		f.mutex.Unlock()
		if current == nil {
			return nil
		}
		if err := current.wait(ctx); err != nil {
			return err
		}
	}
}

// join returns the attempt in progress, or a new one that the caller is to run.
func (f *attempts) join(key requestKey) (current *attempt, first bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if current = f.running[key]; current != nil {
		return current, false
	}
	current = &attempt{done: make(chan struct{})}
	f.running[key] = current
	return current, true
}

// finish ends an attempt.
func (f *attempts) finish(key requestKey, current *attempt) {
	f.mutex.Lock()
	delete(f.running, key)
	f.mutex.Unlock()
	close(current.done)
}

// wait waits for the end of an attempt; without it the outcome of the request is unknown.
func (c *attempt) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return model.Doubt("another attempt of the request is in progress")
	}
}
