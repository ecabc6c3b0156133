package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/boundary"
)

// adder sums its events; while the sum is below the limit, each event but 0 results in an action.
type adder struct {
	sum   int
	limit int
}

func (a *adder) Handle(_ time.Time, event int) []int {
	a.sum += event
	if a.sum >= a.limit || event == 0 {
		return nil
	}
	return []int{event}
}

func (a *adder) Snapshot() int { return a.sum }

// fragile panics on negative events.
type fragile struct{ adder }

func (f *fragile) Handle(now time.Time, event int) []int {
	if event < 0 {
		panic("negative event")
	}
	return f.adder.Handle(now, event)
}

// TestLoopSurvivesAPanic checks that an event whose processing panics is dropped and reported, and that the loop goes on.
func TestLoopSurvivesAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := New(&fragile{})
		loop.TickEvent = func() int { return 0 }
		loop.TickInterval = time.Second
		var failures []error
		loop.Failed = func(err error) { failures = append(failures, err) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go loop.Run(ctx, done)
		for _, event := range []int{2, -1, 3} {
			if err := loop.Send(ctx, event); err != nil {
				t.Fatalf("got %v, want no error", err)
			}
		}
		synctest.Wait()
		if got, want := loop.Snapshot(), 5; got != want {
			t.Errorf("got sum %d, want %d", got, want)
		}
		cancel()
		<-done
		if len(failures) != 1 || !errors.Is(failures[0], boundary.ErrPanic) {
			t.Errorf("got failures %v, want one panic", failures)
		}
	})
}

func TestLoop(t *testing.T) {
	tests := map[string]struct {
		events []int
		limit  int
		want   int
	}{
		"no event":                      {limit: 10, want: 0},
		"event without an action":       {events: []int{3}, limit: 1, want: 3},
		"results of actions are events": {events: []int{1}, limit: 7, want: 7},
		"several events":                {events: []int{1, 2, 3}, limit: 0, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := New(&adder{limit: test.limit})
				loop.Do = func(_ context.Context, action int) int { return 2 * action }
				loop.TickEvent = func() int { return 0 }
				loop.TickInterval = time.Second
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go loop.Run(ctx, done)
				for _, event := range test.events {
					if err := loop.Send(ctx, event); err != nil {
						t.Fatalf("got %v, want no error", err)
					}
				}
				synctest.Wait()
				if got := loop.Snapshot(); got != test.want {
					t.Errorf("got sum %d, want %d", got, test.want)
				}
				cancel()
				if got := <-done; got != context.Canceled {
					t.Errorf("got error %v from Run, want %v", got, context.Canceled)
				}
			})
		})
	}
}

func TestChanged(t *testing.T) {
	tests := map[string]struct {
		event int
		want  bool // whether the channel is closed
	}{
		"new snapshot":  {event: 1, want: true},
		"same snapshot": {event: 0, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := New(&adder{})
				loop.TickEvent = func() int { return 0 }
				loop.TickInterval = time.Second
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go loop.Run(ctx, done)
				changed := loop.Changed()
				if err := loop.Send(ctx, test.event); err != nil {
					t.Fatalf("got %v, want no error", err)
				}
				synctest.Wait()
				got := false
				select {
				case <-changed:
					got = true
				default:
				}
				if got != test.want {
					t.Errorf("got closed %v, want %v", got, test.want)
				}
				cancel()
				<-done
			})
		})
	}
}
