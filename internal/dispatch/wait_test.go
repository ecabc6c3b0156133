package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// TestWaitsThatEnd checks the outcome of queued work whose context is cancelled, as by a change of the primary, or times out.
func TestWaitsThatEnd(t *testing.T) {
	const serviceTime = 2 * time.Millisecond
	cancelled := func(ctx context.Context) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(ctx)
		timer := time.AfterFunc(serviceTime/2, cancel)
		return ctx, func() { timer.Stop(); cancel() }
	}
	timedOut := func(ctx context.Context) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, serviceTime/2)
	}
	waits := map[string]func(context.Context, *Dispatcher) error{
		"statement": func(ctx context.Context, d *Dispatcher) error {
			return runRequest(ctx, d, request{rank: 1, kind: "pay"})
		},
		"transaction": func(ctx context.Context, d *Dispatcher) error {
			_, err := d.Begin(ctx, 1, model.Work{}, admit.Class{Rank: 1, Kind: "pay"})
			return err
		},
	}
	tests := map[string]struct {
		endContext func(context.Context) (context.Context, context.CancelFunc) // makes a context that ends while the work waits
		want       string
	}{
		"cancelled": {endContext: cancelled, want: "unavailable"},
		"timed out": {endContext: timedOut, want: "deadline"},
	}
	for name, test := range tests {
		for waitName, wait := range waits {
			t.Run(name+", "+waitName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fake := newFakeInstance()
					fake.connections = 2
					d, stop, done := startDispatcher(t, fake)
					held, err := beginTransaction(t, d, 1)
					if err != nil {
						t.Fatal(err)
					}
					busy := make(chan error, 2)
					for range cap(busy) {
						go func() { busy <- runRequest(t.Context(), d, request{rank: 1, kind: "pay"}) }()
					}
					synctest.Wait()
					ctx, cancel := test.endContext(t.Context())
					got := outcome(wait(ctx, d))
					cancel()
					if got != test.want {
						t.Errorf("got outcome %q, want %q", got, test.want)
					}
					held.Close()
					for range cap(busy) {
						if got, want := outcome(<-busy), "ran"; got != want {
							t.Errorf("got outcome %q of the work ahead, want %q", got, want)
						}
					}
					stop()
					<-done
				})
			})
		}
	}
}
