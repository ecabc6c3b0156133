package front

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/controller"
	"redwingspread/internal/model"
)

// fakeTable is a store table that misbehaves for a while.
type fakeTable struct {
	start       time.Time
	failAt      func(since time.Duration) error // nil to respond; errNoResponse to hang
	calls       int
	changeAt    time.Duration                  // time of the table's change
	truncatedAt func(since time.Duration) bool // whether the store has lost its history
	restoredAt  time.Duration                  // time at which the store comes back from an older copy; zero for never
}

// errNoResponse makes a call hang until its context ends.
var errNoResponse = errors.New("no response")

// read behaves like the store: it returns at once if there is a change after the revision, or else after the wait.
func (f *fakeTable) read(ctx context.Context, after model.StorePosition, wait time.Duration) (read int, position model.StorePosition, err error) {
	f.calls++
	if err := f.failAt(time.Since(f.start)); errors.Is(err, errNoResponse) {
		<-ctx.Done()
		return 0, position, ctx.Err()
	} else if err != nil {
		return 0, position, err
	}
	if after.Revision != 0 && f.truncatedAt != nil && f.truncatedAt(time.Since(f.start)) {
		return 0, position, ErrHistoryTruncated
	}
	if f.restoredAt != 0 && time.Since(f.start) >= f.restoredAt {
		position.Era = 1
	}
	if after.Revision != 0 && after.Era != position.Era {
		return 0, position, ErrStoreRestored
	}
	for end := time.Now().Add(wait); after.Revision >= f.revision() && time.Now().Before(end); {
		time.Sleep(min(time.Until(end), f.untilChange()))
	}
	position.Revision = f.revision()
	return int(position.Revision), position, nil
}

// revision returns the newest revision of the table.
func (f *fakeTable) revision() model.Revision {
	if time.Since(f.start) >= f.changeAt {
		return 2
	}
	return 1
}

// untilChange returns the time until the table changes, or an hour if it has already changed.
func (f *fakeTable) untilChange() time.Duration {
	if left := f.changeAt - time.Since(f.start); left > 0 {
		return left
	}
	return time.Hour
}

// follow follows the table for a minute, and returns when the change was known, or a negative time if it never was.
func (f *fakeTable) follow(pace pollPace) (known time.Duration) {
	h := New()
	h.Logger = quietLogger()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	known = -1
	apply := func(_ context.Context, revision int) error {
		if revision == 2 && known < 0 {
			known = time.Since(f.start)
		}
		return nil
	}
	go follow(ctx, h, table[int]{"table", pollInterval, 1, f.read, apply, func() pollPace { return pace }, nil}, done)
	time.Sleep(time.Minute)
	cancel()
	<-done
	return known
}

// TestFollowComesBackSoon changes a table while its reads fail, and checks that the change is seen soon after and with few calls.
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
		failAt      func(time.Duration) error
		changeAt    time.Duration
		by          time.Duration // by when the change must be seen
		truncatedAt func(time.Duration) bool
		calls       int // maximum per minute
		restoredAt  time.Duration
	}{
		"nothing fails":                  {failAt: within(0, 0, nil), changeAt: 30 * time.Second, by: 31 * time.Second, calls: 40},
		"reads refused":                  {failAt: within(10*time.Second, 20*time.Second, errors.New("status 503")), changeAt: 15 * time.Second, by: 21 * time.Second, calls: 40},
		"connections without a response": {failAt: within(10*time.Second, 24*time.Second, errNoResponse), changeAt: 15 * time.Second, by: 27 * time.Second, calls: 40},
		"history lost once":              {failAt: within(10*time.Second, 10100*time.Millisecond, ErrHistoryTruncated), changeAt: 15 * time.Second, by: 16 * time.Second, calls: 40},
		"history lost for a while": {
			failAt: within(0, 0, nil), changeAt: 15 * time.Second, by: 16 * time.Second, calls: 40,
			truncatedAt: func(since time.Duration) bool { return since >= 10*time.Second && since < 25*time.Second },
		},
		"the store comes back from an older copy": {
			failAt: within(9*time.Second, 10*time.Second, errNoResponse), changeAt: 10 * time.Second, by: 13 * time.Second, calls: 40, restoredAt: 10 * time.Second,
		},
		"the first reads fail": {failAt: within(0, 5*time.Second, errNoResponse), changeAt: 0, by: 8 * time.Second, calls: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakeTable{start: time.Now(), failAt: test.failAt, changeAt: test.changeAt, truncatedAt: test.truncatedAt, restoredAt: test.restoredAt}
				known := fake.follow(pollPace{limit: longPollLimit})
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

// TestDroppedPoll guards against a change that goes unnoticed since the store has dropped the poll that waits for it, while it
// answers new calls: it must be known within the time in which it must be in force, also with a slow store, and with few calls.
func TestDroppedPoll(t *testing.T) {
	tests := map[string]struct {
		inForce  time.Duration // within which a change must be in force
		dropped  time.Duration // length of the time in which calls are dropped, from the first call after 10 s
		changeAt time.Duration // after that call
		took     time.Duration // of each response
	}{
		"configuration, small deployment":  {inForce: 3 * time.Second, dropped: time.Second, changeAt: 1500 * time.Millisecond},
		"configuration, large deployment":  {inForce: 6 * time.Second, dropped: time.Second, changeAt: 1500 * time.Millisecond},
		"instances":                        {inForce: 3500 * time.Millisecond, dropped: 2 * time.Second, changeAt: 2500 * time.Millisecond},
		"a change while calls are dropped": {inForce: 3 * time.Second, dropped: time.Second, changeAt: 500 * time.Millisecond},
		"a slow store":                     {inForce: 3 * time.Second, dropped: time.Second, changeAt: 1500 * time.Millisecond, took: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				droppedAt := time.Duration(-1)
				fake := &fakeTable{start: time.Now(), changeAt: time.Hour}
				fake.failAt = func(since time.Duration) error {
					if droppedAt < 0 && since > 10*time.Second {
						droppedAt = since
						fake.changeAt = since + test.changeAt
					}
					if droppedAt >= 0 && since < droppedAt+test.dropped {
						return errNoResponse
					}
					time.Sleep(test.took)
					return nil
				}
				known := fake.follow(pollPace{limit: pollLimit(test.inForce)})
				if by := fake.changeAt + test.inForce; known < 0 || known > by {
					t.Errorf("got the change after %v, want it by %v", known, by)
				}
				// One call for each limit, and the first one, the dropped one, the read after it and the change.
				if most := int(time.Minute/pollLimit(test.inForce)) + 4; fake.calls > most {
					t.Errorf("got %d calls in a minute, want at most %d", fake.calls, most)
				}
			})
		})
	}
}

// TestSpacing replays polls of a table that changes all the time, now and then, and for a while.
func TestSpacing(t *testing.T) {
	const at, late = 5 * time.Millisecond, 9 * time.Second // durations of polls that find a change at once, and after a wait
	tests := map[string]struct {
		polls []time.Duration
		want  []time.Duration
	}{
		"changes now and then": {polls: []time.Duration{late, late}, want: []time.Duration{400 * time.Millisecond, 400 * time.Millisecond}},
		"changes all the time": {
			polls: []time.Duration{late, at, at, at, at},
			want:  []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond},
		},
		"changes for a while": {
			polls: []time.Duration{late, at, late, at},
			want:  []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond},
		},
		"the first read": {polls: []time.Duration{at}, want: []time.Duration{400 * time.Millisecond}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := spacing{least: pollInterval, most: instanceSpread * pollInterval}
			for i, took := range test.polls {
				if got := s.next(took); got != test.want[i] {
					t.Errorf("got a pause of %v after poll %d, want %v", got, i, test.want[i])
				}
			}
		})
	}
}

// TestPollPace checks that a host polls while it follows the store, seldom while that fails and others do, and not at all while it
// follows other hosts.
func TestPollPace(t *testing.T) {
	tests := map[string]struct {
		following controller.Following
		want      pollPace
	}{
		"follows the store":       {following: controller.FollowStore, want: pollPace{limit: longPollLimit}},
		"follows other hosts":     {following: controller.FollowHosts, want: pollPace{idle: true}},
		"knows no host to follow": {following: controller.FollowEither, want: pollPace{limit: longPollLimit, failurePause: seldomPause}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := paceOf(test.following, longPollLimit); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// quietLogger returns a logger that writes nothing.
func quietLogger() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
}
