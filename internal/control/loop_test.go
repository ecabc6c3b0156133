package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// counter adds up its events and asks for as many doublings as its limit allows.
type counter struct {
	sum   int
	limit int
}

func (c *counter) Handle(_ time.Time, event int) []int {
	c.sum += event
	if c.sum >= c.limit || event == 0 {
		return nil
	}
	return []int{event}
}

func (c *counter) Snapshot() int { return c.sum }

func TestLoop(t *testing.T) {
	tests := map[string]struct {
		events []int
		limit  int
		want   int
	}{
		"no event":              {limit: 10, want: 0},
		"one event, no action":  {events: []int{3}, limit: 1, want: 3},
		"action reports back":   {events: []int{1}, limit: 7, want: 7},
		"events keep their sum": {events: []int{1, 2, 3}, limit: 0, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := New(&counter{limit: test.limit})
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
					t.Errorf("got end %v, want %v", got, context.Canceled)
				}
			})
		})
	}
}

func TestChanged(t *testing.T) {
	tests := map[string]struct {
		event int
		want  bool // the channel closes
	}{
		"new snapshot":  {event: 1, want: true},
		"same snapshot": {event: 0, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := New(&counter{})
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
