package front

import (
	"context"
	"strings"
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

// busyPlatform is a platform whose instance refuses the first statements for lack of a slot, and whose first connections close.
type busyPlatform struct {
	Platform
	refusals int // statements left to refuse
	closed   int // connections left that are closed when they are to be used
	sent     int // statements received
}

// Dial opens a connection.
func (p *busyPlatform) Dial(context.Context, directory.Instance, model.TenantID) (InstanceConn, error) {
	return &busyConn{platform: p}, nil
}

// busyConn is a connection to the instance of a busyPlatform.
type busyConn struct {
	InstanceConn
	platform *busyPlatform
	pending  []statement.Verb
}

// Send takes commands.
func (c *busyConn) Send(commands []statement.Command) error {
	for _, command := range commands {
		c.pending = append(c.pending, command.Verb)
	}
	return nil
}

// Receive returns the next response.
func (c *busyConn) Receive(time.Time) (statement.Response, error) {
	verb := c.pending[0]
	c.pending = c.pending[1:]
	switch verb {
	case statement.Begin:
		return statement.Response{State: statement.Open, Point: model.Point{Term: 1, Position: 5}}, nil
	case statement.Write:
		c.platform.sent++
		if c.platform.refusals > 0 {
			c.platform.refusals--
			return statement.Response{Code: model.CodeOverloaded, State: statement.Idle}, nil
		}
	}
	return statement.Response{State: statement.Idle, Point: model.Point{Term: 1, Position: 5}}, nil
}

// Alive reports whether the connection is open.
func (c *busyConn) Alive() bool {
	c.platform.closed--
	return c.platform.closed < 0
}

// Close does nothing.
func (*busyConn) Close() error { return nil }

// TestRetriesAreWithinTheBudget guards against retries that add to the load of an instance without room, against attempts that cost an
// instance nothing and are withheld, and against refusals without a time to come back.
func TestRetriesAreWithinTheBudget(t *testing.T) {
	const always = 1000
	tests := map[string]struct {
		spent    bool // the budget is used up
		refusals int
		closed   int
		goal     time.Duration // a statement may wait for a quarter of it
		sent     int
		withheld int64
		refused  bool
	}{
		"within the budget":                    {refusals: 3, goal: 4 * time.Second, sent: 4},
		"none left":                            {spent: true, refusals: always, goal: 2 * time.Second, sent: 1, withheld: 1, refused: true},
		"none left, the next one in time":      {spent: true, refusals: 1, goal: 8 * time.Second, sent: 2, withheld: 1},
		"none left, then another refusal":      {spent: true, refusals: always, goal: 9 * time.Second, sent: 3, withheld: 3, refused: true},
		"a closed connection draws on nothing": {spent: true, closed: 2, goal: 2 * time.Second, sent: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kind := model.Kind{ID: "desk", Database: "seats", Rank: model.RankOne, Goal: test.goal, Timeout: time.Minute}
				h := New()
				h.Loop = control.New(fixedView{&controller.View{
					Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": kind}},
					Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
				}})
				instance := &busyPlatform{refusals: test.refusals, closed: test.closed}
				h.Platform, h.Logger = instance, quietLogger()
				b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}})
				defer b.close()
				b.scheduler.SetLimits(2, 2, false)
				for test.spent && b.replicaSet.retries.Take() {
				}
				caller := &recordingCaller{}
				s := &callerSession{host: h, caller: caller, kind: "desk", state: session.NewSession()}
				if err := s.handle(t.Context(), statement.Request{ID: "r", Statement: statement.Statement{Verb: statement.Write, Text: "a"}}); err != nil {
					t.Fatal(err)
				}
				if caller.refused != test.refused || (test.refused && !caller.notRun) {
					t.Errorf("got refused: %v (%s), as not run: %v, want %v", caller.refused, caller.code, caller.notRun, test.refused)
				}
				if got := caller.retryAfter > 0; got != test.refused {
					t.Errorf("got a time to come back: %v, want %v", got, test.refused)
				}
				if instance.sent != test.sent {
					t.Errorf("got %d statements sent, want %d", instance.sent, test.sent)
				}
				if got := h.counters.Withheld.Value(); got != test.withheld {
					t.Errorf("got %d retries withheld, want %d", got, test.withheld)
				}
			})
		})
	}
}

// TestAdvise guards against callers that come back all at the same time, that are sent away past their deadline without being told, or
// whose delay gets a jitter from two hosts.
func TestAdvise(t *testing.T) {
	tests := map[string]struct {
		refusal model.Refusal
		relayed bool
		want    time.Duration
		past    bool
	}{
		"no room":                   {refusal: model.Refusal{Code: model.CodeOverloaded, RetryAfter: time.Second}, want: 1500 * time.Millisecond},
		"no room in time":           {refusal: model.Refusal{Code: model.CodeDeadline, RetryAfter: 100 * time.Millisecond}, want: 150 * time.Millisecond},
		"no room, nothing known":    {refusal: model.Refusal{Code: model.CodeSlotsFull}, want: 75 * time.Millisecond},
		"past the deadline":         {refusal: model.Refusal{Code: model.CodeOverloaded, RetryAfter: time.Minute}, want: 5 * time.Second, past: true},
		"a lost primary":            {refusal: model.Refusal{Code: model.CodeUnavailable, RetryAfter: time.Second}, want: time.Second},
		"a primary lost for long":   {refusal: model.Refusal{Code: model.CodeUnavailable, RetryAfter: time.Minute}, want: time.Minute, past: true},
		"nothing to wait for":       {refusal: model.Refusal{Code: model.CodeInvalid}},
		"passed on by another host": {refusal: model.Refusal{Code: model.CodeOverloaded, RetryAfter: time.Minute}, relayed: true, want: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.refusal.Message = "full"
			e := &execution{session: &callerSession{relayed: test.relayed}, deadline: time.Now().Add(3 * time.Second)}
			got := e.advise(&test.refusal, 1)
			if (got.RetryAfter-test.want).Abs() > time.Microsecond || got.Code != test.refusal.Code {
				t.Errorf("got %s after %v, want %v", got.Code, got.RetryAfter, test.want)
			}
			if past := got.Message != "full"; past != test.past {
				t.Errorf("got %q, want the caller told that it is past the deadline: %v", got.Message, test.past)
			}
		})
	}
}

// TestRejections guards against rejections whose reason operators can't tell, and against statements that may have run among them.
func TestRejections(t *testing.T) {
	tests := map[string]struct {
		refusal  *model.Refusal
		attempts int
		waited   time.Duration
		want     string // of the only line that isn't zero
	}{
		"full queue":          {refusal: model.Refuse(model.CodeOverloaded, "x"), want: `rejected{reason="queue",when="at_once"} 1`},
		"full instance":       {refusal: model.Refuse(model.CodeSlotsFull, "x"), attempts: 1, waited: time.Second, want: `rejected{reason="instance",when="waited"} 1`},
		"no time":             {refusal: model.Refuse(model.CodeDeadline, "x"), waited: time.Second, want: `rejected{reason="late",when="waited"} 1`},
		"no primary":          {refusal: model.Refuse(model.CodeUnavailable, "x"), want: `rejected{reason="none",when="at_once"} 1`},
		"allowance":           {refusal: model.Refuse(model.CodeAllowance, "x"), want: `rejected{reason="allowance",when="at_once"} 1`},
		"primary in question": {refusal: model.Refuse(model.CodeNotPrimary, "x"), attempts: 1, want: `rejected{reason="other",when="at_once"} 1`},
		"may have run":        {refusal: model.OutcomeUnknown("x")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New()
				h.Logger = quietLogger()
				e := &execution{session: &callerSession{host: h}, arrived: time.Now(), deadline: time.Now().Add(time.Minute), attempts: test.attempts}
				time.Sleep(test.waited)
				e.recordRefusal(test.refusal)
				var text strings.Builder
				if err := h.counters.writeText(&text); err != nil {
					t.Fatal(err)
				}
				got := ""
				for line := range strings.Lines(text.String()) {
					if strings.HasPrefix(line, "rejected{") && !strings.HasSuffix(line, " 0\n") {
						got += strings.TrimSpace(line)
					}
				}
				if got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}
