package front

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/model"
)

// fakeTable is a table of a store that misbehaves for a while.
type fakeTable struct {
	start       time.Time
	failAt      func(since time.Duration) error // nil error for an answer; errHang for none
	calls       int
	changeAt    time.Duration                  // when the table changes
	truncatedAt func(since time.Duration) bool // whether the store keeps no history
}

// errNoAnswer has a call get no answer.
var errNoAnswer = errors.New("no answer")

// read answers like the store: at once when there is a change after the revision, or else after the wait.
func (f *fakeTable) read(ctx context.Context, after model.Revision, wait time.Duration) (int, model.Revision, error) {
	f.calls++
	if err := f.failAt(time.Since(f.start)); errors.Is(err, errNoAnswer) {
		<-ctx.Done()
		return 0, 0, ctx.Err()
	} else if err != nil {
		return 0, 0, err
	}
	if after != 0 && f.truncatedAt != nil && f.truncatedAt(time.Since(f.start)) {
		return 0, 0, ErrHistoryTruncated
	}
	for end := time.Now().Add(wait); after >= f.revision() && time.Now().Before(end); {
		time.Sleep(min(time.Until(end), f.untilChange()))
	}
	revision := f.revision()
	return int(revision), revision, nil
}

// revision returns the newest revision of the table.
func (f *fakeTable) revision() model.Revision {
	if time.Since(f.start) >= f.changeAt {
		return 2
	}
	return 1
}

// untilChange returns the time until the table changes, or a long one when it has changed.
func (f *fakeTable) untilChange() time.Duration {
	if left := f.changeAt - time.Since(f.start); left > 0 {
		return left
	}
	return time.Hour
}

// TestFollowComesBackSoon plays a table whose answers fail for a while and change meanwhile.
func TestFollowComesBackSoon(t *testing.T) {
	within := func(from, to time.Duration, err error) func(time.Duration) error {
		return func(since time.Duration) error {
			if since >= from && since < to {
				return err
			}
			return nil
		}
	}
	tests := map[string]struct {
		fails  func(time.Duration) error
		change time.Duration
		by     time.Duration // the change is known
		forgot func(time.Duration) bool
		calls  int // in a minute, at most
	}{
		"nothing fails":                {fails: within(0, 0, nil), change: 30 * time.Second, by: 31 * time.Second, calls: 40},
		"turned away":                  {fails: within(10*time.Second, 20*time.Second, errors.New("status 503")), change: 15 * time.Second, by: 21 * time.Second, calls: 40},
		"connections that went silent": {fails: within(10*time.Second, 24*time.Second, errNoAnswer), change: 15 * time.Second, by: 27 * time.Second, calls: 40},
		"no history":                   {fails: within(10*time.Second, 10100*time.Millisecond, ErrHistoryTruncated), change: 15 * time.Second, by: 16 * time.Second, calls: 40},
		"no history for long": {
			fails: within(0, 0, nil), change: 15 * time.Second, by: 16 * time.Second, calls: 40,
			forgot: func(since time.Duration) bool { return since >= 10*time.Second && since < 25*time.Second },
		},
		"the first answers are a failure": {fails: within(0, 5*time.Second, errNoAnswer), change: 0, by: 8 * time.Second, calls: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeTable{start: time.Now(), failAt: test.fails, changeAt: test.change, truncatedAt: test.forgot}
				h := New()
				h.Logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				known := time.Duration(-1)
				take := func(_ context.Context, revision int) error {
					if revision == 2 && known < 0 {
						known = time.Since(fake.start)
					}
					return nil
				}
				go follow(ctx, h, table[int]{"table", pollInterval, fake.read, take}, done)
				time.Sleep(time.Minute)
				cancel()
				<-done
				if known < 0 || known > test.by {
					t.Errorf("got the change after %v, want it by %v", known, test.by)
				}
				if fake.calls > test.calls {
					t.Errorf("got %d calls in a minute, want at most %d", fake.calls, test.calls)
				}
			})
		})
	}
}
