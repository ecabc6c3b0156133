package front

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// TestPrimaryWait guards against statements that are refused while a primary is still coming, and against statements that wait
// although none can answer them in time.
func TestPrimaryWait(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return now.Add(after) }
	startBy, deadline := at(100*time.Millisecond), at(2*time.Second)
	const answer = 200 * time.Millisecond
	latest := deadline.Add(-answer)
	tests := map[string]struct {
		wait       primaryWait
		want       time.Time
		tooLate    bool
		retryAfter time.Duration
	}{
		"nothing to wait for":                {want: startBy},
		"back before the deadline":           {wait: primaryWait{expectedBack: at(time.Second)}, want: at(time.Second), retryAfter: time.Second},
		"back after the deadline":            {wait: primaryWait{expectedBack: at(3 * time.Second)}, want: now, tooLate: true, retryAfter: 3 * time.Second},
		"back soon":                          {wait: primaryWait{expectedBack: at(10 * time.Millisecond)}, want: startBy, retryAfter: 10 * time.Millisecond},
		"was expected back long ago":         {wait: primaryWait{expectedBack: at(-time.Hour)}, want: startBy},
		"the host has just started":          {wait: primaryWait{settled: at(900 * time.Millisecond)}, want: at(900 * time.Millisecond)},
		"it settles after the deadline":      {wait: primaryWait{settled: at(3 * time.Second)}, want: deadline},
		"started long ago":                   {wait: primaryWait{settled: at(-time.Hour)}, want: startBy},
		"just started, and the primary lost": {wait: primaryWait{settled: at(500 * time.Millisecond), expectedBack: at(time.Second)}, want: at(time.Second), retryAfter: time.Second},
		"changing":                           {wait: primaryWait{changing: true}, want: latest, retryAfter: overdueRetry},
		"changing, back before the deadline": {wait: primaryWait{changing: true, expectedBack: at(time.Second)}, want: latest, retryAfter: time.Second},
		"changing, overdue":                  {wait: primaryWait{changing: true, expectedBack: at(-time.Second)}, want: latest, retryAfter: overdueRetry},
		"changing, back too late to answer":  {wait: primaryWait{changing: true, expectedBack: at(1900 * time.Millisecond)}, want: now, tooLate: true, retryAfter: 1900 * time.Millisecond},
		"changing, the time to start over":   {wait: primaryWait{changing: true, startBy: at(-time.Second)}, want: latest, retryAfter: overdueRetry},
		"changing, less left than an answer": {wait: primaryWait{changing: true, deadline: at(100 * time.Millisecond)}, want: now, tooLate: true, retryAfter: overdueRetry},
		"changing, just started":             {wait: primaryWait{changing: true, settled: at(500 * time.Millisecond)}, want: latest, retryAfter: overdueRetry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			wait := test.wait
			wait.now, wait.answer = now, answer
			if wait.startBy.IsZero() {
				wait.startBy = startBy
			}
			if wait.deadline.IsZero() {
				wait.deadline = deadline
			}
			if got := wait.until(); !got.Equal(test.want) {
				t.Errorf("got a wait of %v, want %v", got.Sub(now), test.want.Sub(now))
			}
			if got := wait.tooLate(); got != test.tooLate {
				t.Errorf("got too late %v, want %v", got, test.tooLate)
			}
			if got := wait.retryAfter(); got != test.retryAfter {
				t.Errorf("got retry after %v, want %v", got, test.retryAfter)
			}
		})
	}
}

// settableView is a machine whose snapshot is that of the newest event.
type settableView struct{ current *controller.View }

// viewEvent sets the view.
type viewEvent struct {
	controller.Event
	view *controller.View
}

// Handle sets the view.
func (v *settableView) Handle(_ time.Time, e controller.Event) []controller.Action {
	if e, ok := e.(viewEvent); ok {
		v.current = e.view
	}
	return nil
}

// Snapshot returns the view.
func (v *settableView) Snapshot() *controller.View { return v.current }

// lossyPlatform is an agreeingPlatform whose instance i1 can't be reached while it is down.
type lossyPlatform struct {
	agreeingPlatform
	down *atomic.Bool
}

// errUnreachable is why an instance that is down can't be reached.
var errUnreachable = errors.New("unreachable")

// Dial opens a connection.
func (p lossyPlatform) Dial(ctx context.Context, instance directory.Instance, tenant model.TenantID) (InstanceConn, error) {
	if instance.ID == "i1" && p.down.Load() {
		return nil, errUnreachable
	}
	return p.agreeingPlatform.Dial(ctx, instance, tenant)
}

// TestWaitGoesOnWhileThePrimaryChanges guards against a statement that is refused although a change of primary, which takes longer
// than expected, ends long before the statement's deadline.
func TestWaitGoesOnWhileThePrimaryChanges(t *testing.T) {
	const expected = 2 * time.Second // after the loss
	lost := controller.Primary{Instance: "i1", State: failover.Silent, Changing: true}
	doubted := controller.Primary{Instance: "i1", State: failover.Leading, Changing: true}
	lastingly := controller.Primary{Instance: "i1", State: failover.Silent}
	back := controller.Primary{Instance: "i1", State: failover.Leading}
	promoted := controller.Primary{Instance: "i2", State: failover.Leading}
	tests := map[string]struct {
		first   controller.Primary
		next    controller.Primary
		at      time.Duration // after the loss
		timeout time.Duration // of the statement
		want    model.Code
		least   time.Duration // until the answer
		most    time.Duration
	}{
		"the promotion takes longer than expected": {first: lost, next: promoted, at: 2600 * time.Millisecond, timeout: 8 * time.Second, least: 2600 * time.Millisecond, most: 2900 * time.Millisecond},
		"the primary is back":                      {first: lost, next: back, at: 2600 * time.Millisecond, timeout: 8 * time.Second, least: 2600 * time.Millisecond, most: 2900 * time.Millisecond},
		"undecided, then the primary answers":      {first: doubted, next: back, at: 600 * time.Millisecond, timeout: 8 * time.Second, least: 600 * time.Millisecond, most: 900 * time.Millisecond},
		"undecided, then another one is promoted":  {first: doubted, next: promoted, at: 2600 * time.Millisecond, timeout: 8 * time.Second, least: 2600 * time.Millisecond, most: 2900 * time.Millisecond},
		"no primary before the deadline":           {first: lost, next: lost, at: time.Minute, timeout: 8 * time.Second, want: model.CodeUnavailable, least: 7 * time.Second, most: 8 * time.Second},
		"no sign of a change":                      {first: lastingly, next: promoted, at: 2600 * time.Millisecond, timeout: 8 * time.Second, want: model.CodeUnavailable, least: expected, most: expected},
		"too little time is left":                  {first: lost, next: promoted, at: 2600 * time.Millisecond, timeout: time.Second, want: model.CodeUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				kind := model.Kind{ID: "quick", Database: "seats", Rank: model.RankOne, Goal: 400 * time.Millisecond, Timeout: test.timeout}
				viewOf := func(primary controller.Primary) *controller.View {
					if primary.State == failover.Silent {
						primary.ExpectedBack = time.Now().Add(expected)
					}
					return &controller.View{
						Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"quick": kind}},
						Primaries: map[model.DatabaseID]controller.Primary{"seats": primary},
					}
				}
				h := New()
				h.Loop = control.New(&settableView{viewOf(test.first)})
				h.Loop.TickInterval, h.Loop.TickEvent = time.Minute, func() controller.Event { return nil }
				down := &atomic.Bool{}
				down.Store(true)
				h.Platform, h.Logger = lossyPlatform{down: down}, quietLogger()
				ended := make(chan error, 1)
				go h.Loop.Run(ctx, ended)
				for _, id := range []model.InstanceID{"i1", "i2"} {
					b := h.addBackend(ctx, directory.Instance{Instance: model.Instance{ID: id, Database: "seats"}})
					b.scheduler.SetLimits(2, 2, false)
					if id == "i1" {
						b.noteFailure(time.Now())
					}
					defer b.close()
				}
				time.AfterFunc(test.at, func() {
					next := viewOf(test.next)
					if test.next == back {
						down.Store(false)
						h.backend("i1").noteResponse(time.Now())
					}
					h.Loop.Offer(viewEvent{view: next})
				})
				begun := time.Now()
				caller := &recordingCaller{}
				s := &callerSession{host: h, caller: caller, kind: "quick", state: session.NewSession()}
				request := statement.Request{ID: "r", Statement: statement.Statement{Verb: statement.Write, Text: "a"}}
				if err := s.handle(ctx, request); err != nil {
					t.Fatal(err)
				}
				if caller.code != test.want {
					t.Errorf("got %q, want %q", caller.code, test.want)
				}
				if got := time.Since(begun); got < test.least || got > test.most {
					t.Errorf("got an answer after %v, want one after %v to %v", got, test.least, test.most)
				}
				cancel()
				<-ended
			})
		})
	}
}
