package dispatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// startDispatcher starts a dispatcher for the fake instance; the caller ends it with the function and waits on the channel.
func startDispatcher(t *testing.T, fake *fakeInstance) (*Dispatcher, context.CancelFunc, chan error) {
	t.Helper()
	d := New()
	d.Instance = fake
	d.Connections = model.Connections(fake.connections)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go d.Run(ctx, done)
	time.Sleep(time.Second) // until the pool has opened its connections
	return d, stop, done
}

// beginTransaction begins a transaction of the rank with a deadline in half a second.
func beginTransaction(t *testing.T, d *Dispatcher, rank model.Rank) (*Transaction, error) {
	t.Helper()
	work := model.Work{Deadline: time.Now().Add(time.Second / 2)}
	return d.Begin(t.Context(), 1, work, admit.Class{Rank: rank, Kind: "kind"})
}

func TestTransactionsLeaveConnections(t *testing.T) {
	tests := map[string]struct {
		ranks []model.Rank
		want  []string
	}{
		"rank three pins at most half":              {ranks: []model.Rank{3, 3, 3}, want: []string{"ran", "ran", "deadline"}},
		"rank two pins at most three quarters":      {ranks: []model.Rank{2, 2, 2, 2}, want: []string{"ran", "ran", "ran", "deadline"}},
		"rank one leaves one":                       {ranks: []model.Rank{1, 1, 1, 1}, want: []string{"ran", "ran", "ran", "deadline"}},
		"rank one begins beside rank three":         {ranks: []model.Rank{3, 3, 1}, want: []string{"ran", "ran", "ran"}},
		"rank three does not begin beside rank one": {ranks: []model.Rank{1, 1, 3}, want: []string{"ran", "ran", "deadline"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeInstance()
				fake.connections = 4
				d, stop, done := startDispatcher(t, fake)
				var got []string
				for _, rank := range test.ranks {
					_, err := beginTransaction(t, d, rank)
					got = append(got, outcome(err))
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if got, want := outcome(runRequest(t.Context(), d, request{rank: 3, kind: "alone", deadline: time.Second})), "ran"; got != want {
					t.Errorf("got %s for a single statement, want %s", got, want)
				}
				stop()
				<-done
				if got := fake.open; got != 0 {
					t.Errorf("got %d connections open at the end, want 0", got)
				}
			})
		})
	}
}

func TestTransactionsWaitForConnections(t *testing.T) {
	tests := map[string]struct {
		waiting []model.Rank // transactions in order of arrival, while others pin as many connections as allowed
		want    []model.Rank // those that begin, in order
	}{
		"most urgent rank first":         {waiting: []model.Rank{3, 2, 1}, want: []model.Rank{1}},
		"order of arrival within a rank": {waiting: []model.Rank{1, 1}, want: []model.Rank{1}},
		"rank three exceeds its limit":   {waiting: []model.Rank{3}},
		"none waiting":                   {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeInstance()
				fake.connections = 4
				d, stop, done := startDispatcher(t, fake)
				var held []*Transaction
				for range 3 {
					transaction, err := beginTransaction(t, d, 1)
					if err != nil {
						t.Fatal(err)
					}
					held = append(held, transaction)
				}
				begun := make(chan model.Rank, len(test.waiting))
				var group sync.WaitGroup
				for _, rank := range test.waiting {
					group.Go(func() {
						if _, err := beginTransaction(t, d, rank); err == nil {
							begun <- rank
						}
					})
					synctest.Wait()
				}
				held[0].Close()
				group.Wait()
				close(begun)
				var got []model.Rank
				for rank := range begun {
					got = append(got, rank)
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("got begun %v, want %v", got, test.want)
				}
				stop()
				<-done
				if got, want := d.Stats().Pinned, model.Connections(0); got != want {
					t.Errorf("got %d connections pinned at the end, want %d", got, want)
				}
			})
		})
	}
}

func TestTransactionEnds(t *testing.T) {
	tests := map[string]struct {
		end  func(*Transaction) error
		want string // outcome of a statement after the end
		open int    // number of connections opened
	}{
		"committed": {
			end: func(transaction *Transaction) error {
				_, _, err := transaction.Commit(context.Background(), "id", time.Time{})
				return err
			},
			want: "transaction_ended",
			open: 5,
		},
		"rolled back": {
			end:  func(transaction *Transaction) error { return transaction.Rollback(context.Background()) },
			want: "transaction_ended",
			open: 5,
		},
		"closed twice": {
			end: func(transaction *Transaction) error {
				transaction.Close()
				transaction.Close()
				return nil
			},
			want: "transaction_ended",
			open: 6,
		},
		"not ended": {
			end:  func(*Transaction) error { return nil },
			want: "ran",
			open: 5,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeInstance()
				d, stop, done := startDispatcher(t, fake)
				transaction, err := beginTransaction(t, d, 1)
				if err != nil {
					t.Fatal(err)
				}
				if err := test.end(transaction); err != nil {
					t.Fatal(err)
				}
				_, _, err = transaction.Run(t.Context(), model.Work{})
				if got := outcome(err); got != test.want {
					t.Errorf("got %s after the end, want %s", got, test.want)
				}
				time.Sleep(time.Second)
				if got := fake.openedCount(); got != test.open {
					t.Errorf("got %d connections opened, want %d", got, test.open)
				}
				stop()
				<-done
				if got := fake.open; got != 0 {
					t.Errorf("got %d connections open at the end, want 0", got)
				}
			})
		})
	}
}

func TestStopWaitsForRunningTransactionCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeInstance()
		d, stop, done := startDispatcher(t, fake)
		transaction, err := beginTransaction(t, d, 1)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			_, _, err := transaction.Run(t.Context(), model.Work{})
			ended <- err
		}()
		synctest.Wait()
		stop()
		if got, want := outcome(<-ended), "ran"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		<-done
		if got := fake.open; got != 0 {
			t.Errorf("got %d connections open at the end, want 0", got)
		}
	})
}
