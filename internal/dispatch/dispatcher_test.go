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

// request is one piece of work of a test.
type request struct {
	rank        model.Rank
	kind        model.KindID
	arrival     time.Duration // from the start
	deadline    time.Duration // from its arrival; zero when there is none
	cancelAfter time.Duration // from its arrival; zero when the caller stays
}

// runRequests starts the dispatcher, hands it the requests and returns the error of each, by index.
func runRequests(t *testing.T, d *Dispatcher, requests []request) []error {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go d.Run(ctx, done)
	time.Sleep(time.Second) // of the test's clock: the pool is warm
	ended := make([]error, len(requests))
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			time.Sleep(r.arrival)
			ended[i] = runRequest(ctx, d, r)
		})
	}
	group.Wait()
	stop()
	if got, want := <-done, context.Canceled; got != want {
		t.Errorf("got end %v, want %v", got, want)
	}
	return ended
}

// runRequest runs one request.
func runRequest(ctx context.Context, d *Dispatcher, r request) error {
	work := model.Work{Statement: model.Statement{Kind: r.kind}}
	if r.deadline > 0 {
		work.Deadline = time.Now().Add(r.deadline)
	}
	if r.cancelAfter > 0 {
		limited, cancel := context.WithTimeout(ctx, r.cancelAfter)
		defer cancel()
		ctx = limited
	}
	_, _, err := d.Do(ctx, 1, work, admit.Class{Rank: r.rank, Kind: r.kind})
	return err
}

// outcome returns a refusal's code, with a mark when its effect is unknown.
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
	const slot = 2 * time.Millisecond
	tests := map[string]struct {
		requests []request
		prepare  func(d *Dispatcher, i *fakeInstance)
		want     []string
		order    []model.KindID // nil when any
		open     int            // connections that were opened
	}{
		"one runs": {
			requests: []request{{rank: 1, kind: "pay"}},
			want:     []string{"ran"},
			open:     4,
		},
		"urgent work overtakes": {
			requests: []request{
				{rank: 3, kind: "report"}, {rank: 3, kind: "report", arrival: 1},
				{rank: 3, kind: "late", arrival: 2}, {rank: 1, kind: "pay", arrival: 3},
			},
			prepare: func(_ *Dispatcher, i *fakeInstance) { i.slots = 1 },
			want:    []string{"ran", "ran", "ran", "ran"},
			order:   []model.KindID{"report", "pay", "late", "report"},
			open:    4,
		},
		"what can't end in time is refused": {
			requests: []request{
				{rank: 1, kind: "pay"}, {rank: 1, kind: "pay"},
				{rank: 1, kind: "hasty", arrival: 1, deadline: slot / 2},
			},
			want: []string{"ran", "ran", "deadline"},
			open: 4,
		},
		"a full queue refuses the least urgent": {
			requests: []request{
				{rank: 2, kind: "read"}, {rank: 2, kind: "read"},
				{rank: 3, kind: "report", arrival: 1}, {rank: 1, kind: "pay", arrival: 2},
			},
			prepare: func(d *Dispatcher, _ *fakeInstance) { d.QueueLimit = 1 },
			want:    []string{"ran", "ran", "overloaded", "ran"},
			open:    4,
		},
		"a caller that leaves while its work runs does not learn the outcome, and its connection is closed": {
			requests: []request{{rank: 1, kind: "pay", cancelAfter: slot / 2}, {rank: 1, kind: "pay", arrival: 10 * slot}},
			want:     []string{"outcome_unknown?", "ran"},
			open:     5,
		},
		"an answer that is cut leaves the outcome unknown, and its connection is closed": {
			requests: []request{{rank: 1, kind: "pay"}},
			prepare: func(_ *Dispatcher, i *fakeInstance) {
				i.fail = func(model.Work) error { return errors.New("cut") }
			},
			want: []string{"outcome_unknown?"},
			open: 4,
		},
		"connections that the instance forgot are all replaced at once": {
			requests: []request{{rank: 1, kind: "pay"}},
			prepare: func(d *Dispatcher, i *fakeInstance) {
				d.Slots = 8
				i.forgottenUpTo = 10
			},
			want: []string{"ran"},
			open: 14, // four at once, and the work runs on the first
		},
		"more slots than the instance has left are tried again": {
			requests: []request{{rank: 1, kind: "pay"}, {rank: 1, kind: "pay", arrival: 1}, {rank: 1, kind: "pay", arrival: 2}},
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
