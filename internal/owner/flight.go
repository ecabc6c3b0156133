package owner

import (
	"context"
	"sync"

	"redwingspread/internal/model"
)

// flightKey names one request of a database.
type flightKey struct {
	database model.DatabaseID
	request  model.RequestID
}

// flying is one attempt in progress; its result is set before done closes.
type flying struct {
	done   chan struct{}
	result model.Result
	err    error
}

// flights lets attempts of one request run one after the other, and share the first result.
type flights struct {
	mutex sync.Mutex
	calls map[flightKey]*flying
}

// newFlights returns an empty set of attempts.
func newFlights() *flights {
	return &flights{calls: map[flightKey]*flying{}}
}

// do runs the request, or returns the result of the attempt that is in progress.
func (f *flights) do(ctx context.Context, key flightKey, run func() (model.Result, error)) (model.Result, error) {
	for {
		current, first := f.join(key)
		if first {
			current.result, current.err = run()
			f.leave(key, current)
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

// settled waits until no attempt of the request is in progress.
func (f *flights) settled(ctx context.Context, key flightKey) error {
	for {
		f.mutex.Lock()
		current := f.calls[key]
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
func (f *flights) join(key flightKey) (current *flying, first bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if current = f.calls[key]; current != nil {
		return current, false
	}
	current = &flying{done: make(chan struct{})}
	f.calls[key] = current
	return current, true
}

// leave ends an attempt.
func (f *flights) leave(key flightKey, current *flying) {
	f.mutex.Lock()
	delete(f.calls, key)
	f.mutex.Unlock()
	close(current.done)
}

// wait waits for the end of an attempt; without it the outcome of the request is unknown.
func (c *flying) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return model.OutcomeUnknown("another attempt of the request is in progress")
	}
}
