package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// request is one piece of work that a test submits.
type request struct {
	rank        model.Rank
	kind        model.KindID
	startAfter  time.Duration // time from the start of the test to the arrival
	deadline    time.Duration // time from the arrival to the deadline; zero for no deadline
	cancelAfter time.Duration // time from the arrival until the caller cancels; zero for never
}

// runRequests runs the requests through the dispatcher, stops it, and returns the error of each request.
func runRequests(t *testing.T, d *Dispatcher, requests []request) []error {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go d.Run(ctx, done)
	time.Sleep(time.Second) // until the pool has opened its connections
	errs := make([]error, len(requests))
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			time.Sleep(r.startAfter)
			errs[i] = runRequest(ctx, d, r)
		})
	}
	group.Wait()
	stop()
	if got, want := <-done, context.Canceled; got != want {
		t.Errorf("got error %v from Run, want %v", got, want)
	}
	return errs
}

// runRequest runs one request.
func runRequest(ctx context.Context, d *Dispatcher, r request) error {
	work := model.Work{Statement: model.Statement{Kind: r.kind}}
	if r.deadline > 0 {
		work.Deadline = time.Now().Add(r.deadline)
	}
	if r.cancelAfter > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, r.cancelAfter)
		defer cancel()
		ctx = timeoutCtx
	}
	_, _, err := d.Do(ctx, 1, work, admit.Class{Rank: r.rank, Kind: r.kind})
	return err
}

// outcome returns "ran" or the code of the refusal, followed by a question mark if the outcome of the work is unknown.
func outcome(err error) string {
	var refusal *model.Refusal
	switch {
	case err == nil:
		return "ran"
	case !errors.As(err, &refusal):
		return err.Error()
	case refusal.NotRun:
		return string(refusal.Code)
	default:
		return string(refusal.Code) + "?"
	}
}

func TestDo(t *testing.T) {
	const serviceTime = 2 * time.Millisecond
	tests := map[string]struct {
		requests []request
		prepare  func(d *Dispatcher, fake *fakeInstance)
		want     []string
		order    []model.KindID // expected order on a single slot; nil to leave the order unchecked
		open     int            // number of connections opened; unchecked if an order is given
	}{
		"a single request runs": {
			requests: []request{{rank: 1, kind: "pay"}},
			want:     []string{"ran"},
			open:     4,
		},
		"urgent work runs before earlier work": {
			requests: []request{
				{rank: 3, kind: "report"}, {rank: 3, kind: "report", startAfter: 1},
				{rank: 3, kind: "late", startAfter: 2}, {rank: 1, kind: "pay", startAfter: 3},
			},
			prepare: func(_ *Dispatcher, fake *fakeInstance) { fake.slots = 1 },
			want:    []string{"ran", "ran", "ran", "ran"},
			order:   []model.KindID{"report", "pay", "late", "report"},
			open:    4,
		},
		"work that can't meet its deadline is refused": {
			requests: []request{
				{rank: 1, kind: "pay"}, {rank: 1, kind: "pay"},
				{rank: 1, kind: "hasty", startAfter: 1, deadline: serviceTime / 2},
			},
			want: []string{"ran", "ran", "deadline"},
			open: 4,
		},
		"a full queue refuses the least urgent": {
			requests: []request{
				{rank: 2, kind: "read"}, {rank: 2, kind: "read"},
				{rank: 3, kind: "report", startAfter: 1}, {rank: 1, kind: "pay", startAfter: 2},
			},
			prepare: func(d *Dispatcher, _ *fakeInstance) { d.QueueLimit = 1 },
			want:    []string{"ran", "ran", "overloaded", "ran"},
			open:    4,
		},
		"cancelling running work leaves its outcome unknown and closes its connection": {
			requests: []request{{rank: 1, kind: "pay", cancelAfter: serviceTime / 2}, {rank: 1, kind: "pay", startAfter: 10 * serviceTime}},
			want:     []string{"outcome_unknown?", "ran"},
			open:     5,
		},
		"a lost answer leaves the outcome unknown and closes the connection": {
			requests: []request{{rank: 1, kind: "pay"}},
			prepare: func(_ *Dispatcher, fake *fakeInstance) {
				fake.fail = func(model.Work) error { return errors.New("connection reset") }
			},
			want: []string{"outcome_unknown?"},
			open: 4,
		},
		"if the instance forgot its connections, all idle ones are replaced": {
			requests: []request{{rank: 1, kind: "pay"}},
			prepare: func(d *Dispatcher, fake *fakeInstance) {
				d.Slots = 8
				fake.forgottenUpTo = 10
			},
			want: []string{"ran"},
			open: 14, // ten forgotten ones and four opened in parallel, the first of which runs the work
		},
		"work is retried if the instance has fewer free slots": {
			requests: []request{{rank: 1, kind: "pay"}, {rank: 1, kind: "pay", startAfter: 1}, {rank: 1, kind: "pay", startAfter: 2}},
			prepare:  func(d *Dispatcher, _ *fakeInstance) { d.Slots = 3 },
			want:     []string{"ran", "ran", "ran"},
			open:     5,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeInstance()
				d := New()
				d.Instance = fake
				if test.order != nil {
					d.Slots = 1
				}
				if test.prepare != nil {
					test.prepare(d, fake)
				}
				var got []string
				for _, err := range runRequests(t, d, test.requests) {
					got = append(got, outcome(err))
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("got outcomes %v, want %v", got, test.want)
				}
				if test.order != nil && !slices.Equal(fake.order, test.order) {
					t.Errorf("got order %v, want %v", fake.order, test.order)
				}
				if got := fake.opened; got != test.open && test.order == nil {
					t.Errorf("got %d connections opened, want %d", got, test.open)
				}
				if got := fake.open; got != 0 {
					t.Errorf("got %d connections open at the end, want 0", got)
				}
			})
		})
	}
}
