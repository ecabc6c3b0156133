package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/holder"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/relay"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// leavingCaller is a caller that closes its connection when leaves is closed.
type leavingCaller struct {
	recordingCaller
	leaves  chan struct{}
	watched int // times that the connection was watched
}

// AwaitClose waits until the caller leaves.
func (c *leavingCaller) AwaitClose(ctx context.Context) bool {
	c.watched++
	select {
	case <-c.leaves:
		return true
	case <-ctx.Done():
		return false
	}
}

// TestCloseWatch guards against a goroutine for each statement, a goroutine that outlives its statement, and a closed connection that
// is not noticed or is noticed after the wait.
func TestCloseWatch(t *testing.T) {
	tests := map[string]struct {
		waits   []time.Duration
		leaves  time.Duration // after the beginning; zero for never
		watched int
		gone    bool
	}{
		"short waits":             {waits: []time.Duration{watchDelay / 2, 0, watchDelay - 1}},
		"long waits":              {waits: []time.Duration{time.Minute, 2 * watchDelay}, watched: 2},
		"a long wait, then short": {waits: []time.Duration{time.Minute, 0, 1}, watched: 1},
		"leaves during a wait":    {waits: []time.Duration{time.Minute}, leaves: time.Second, watched: 1, gone: true},
		"leaves at its beginning": {waits: []time.Duration{time.Minute}, leaves: 1, watched: 1, gone: true},
		"leaves in the second":    {waits: []time.Duration{time.Minute, time.Minute}, leaves: 90 * time.Second, watched: 2, gone: true},
		"leaves during none":      {waits: []time.Duration{1}, leaves: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				caller := &leavingCaller{leaves: make(chan struct{})}
				if test.leaves > 0 {
					time.AfterFunc(test.leaves, func() { close(caller.leaves) })
				}
				w := &closeWatch{caller: caller, cancel: cancel}
				for _, wait := range test.waits {
					w.begin(ctx)
					w.begin(ctx) // has no effect
					select {
					case <-time.After(wait):
					case <-ctx.Done():
					}
					w.end()
					w.end() // has no effect
				}
				if got := ctx.Err() != nil; got != test.gone || w.gone.Load() != test.gone {
					t.Errorf("got cancelled: %v, gone: %v, want %v", got, w.gone.Load(), test.gone)
				}
				if caller.watched != test.watched {
					t.Errorf("got the connection watched %d times, want %d", caller.watched, test.watched)
				}
			})
		})
	}
}

// TestCallerGone guards against statements that keep their place, are sent, or are counted as refused for lack of room after their
// callers have closed their connections.
func TestCallerGone(t *testing.T) {
	const database = model.DatabaseID("seats")
	write := statement.Statement{Verb: statement.Write, Text: "silent"}
	leading := controller.Primary{Instance: "i1", State: failover.Leading}
	tests := map[string]struct {
		platform   Platform
		primary    controller.Primary
		held       bool // another host keeps the connections
		left       bool // the caller has closed its connection when the statement gets a connection
		statements []statement.Statement
		unsure     bool // the write was passed on
	}{
		"waits for a connection":                {platform: hangingPlatform{}, primary: leading, statements: []statement.Statement{write}},
		"transaction waits for a connection":    {platform: hangingPlatform{}, primary: leading, statements: []statement.Statement{{Verb: statement.Begin}, write}},
		"waits for a primary":                   {platform: hangingPlatform{}, primary: controller.Primary{ExpectedBack: time.Now().Add(30 * time.Second)}, statements: []statement.Statement{write}},
		"gets a connection at that moment":      {platform: agreeingPlatform{}, primary: leading, left: true, statements: []statement.Statement{write}},
		"transaction gets one at that moment":   {platform: agreeingPlatform{}, primary: leading, left: true, statements: []statement.Statement{{Verb: statement.Begin}, write}},
		"write waits at another host":           {platform: hangingPlatform{}, primary: leading, held: true, statements: []statement.Statement{write}, unsure: true},
		"read waits at another host":            {platform: hangingPlatform{}, primary: leading, held: true, statements: []statement.Statement{{Verb: statement.Read, Text: "silent"}}},
		"first of a transaction at another one": {platform: hangingPlatform{}, primary: leading, held: true, statements: []statement.Statement{{Verb: statement.Begin}, write}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kind := model.Kind{ID: "desk", Database: database, Rank: model.RankOne, Goal: time.Minute, Timeout: time.Minute}
			view := &controller.View{
				Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": kind}},
				Primaries: map[model.DatabaseID]controller.Primary{database: test.primary},
			}
			scripted := &scriptedHolder{calls: make(map[string]int)}
			if test.held {
				view.Shares = map[model.InstanceID]controller.Share{"i1": {Slots: 1, Connections: 1, Holders: holder.New("i1", "h1", []holder.Host{{ID: "h2", Address: scripted.start(t, "")}})}}
			}
			h := New()
			h.Loop = control.New(fixedView{view})
			h.Platform, h.Logger = test.platform, quietLogger()
			h.relays.Key = func() *mesh.Key { return &relayKey }
			defer h.relays.Close()
			b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: database}})
			defer b.close()
			b.scheduler.SetLimits(2, 2, false)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			caller := &leavingCaller{leaves: make(chan struct{})}
			s := &callerSession{host: h, caller: caller, kind: "desk", policy: kind, state: session.NewSession()}
			s.watch.caller, s.watch.cancel = caller, cancel
			s.watch.gone.Store(test.left)
			if !test.left {
				close(caller.leaves)
			}
			for _, stmt := range test.statements {
				if err := s.handle(ctx, statement.Request{ID: "r", Statement: stmt}); err != nil {
					t.Fatal(err)
				}
			}
			s.cleanUp()
			if !caller.refused || caller.code == "" {
				t.Errorf("got %q, want a refusal", caller.code)
			}
			if got, want := caller.code == model.CodeOutcomeUnknown, test.unsure; got != want {
				t.Errorf("got unknown: %v, want %v", got, want)
			}
			if got := h.counters.CallersGone.Value() == 1; got == test.unsure {
				t.Errorf("got %s statements given up, want one: %v", h.counters.CallersGone.String(), !test.unsure)
			}
			if room := b.scheduler.Room(); room.Waiting != 0 || room.Running != 0 {
				t.Errorf("got %d waiting and %d running, want none", room.Waiting, room.Running)
			}
			for limit := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				scripted.mutex.Lock()
				open := scripted.open
				scripted.mutex.Unlock()
				if open == 0 {
					break
				}
				if time.Now().After(limit) {
					t.Fatalf("got %d sessions left open at the holder, want none", open)
				}
			}
		})
	}
}

// TestRelayedCallerCloses guards against a session that its host has ended and that keeps its place at the holder, and against a call
// that is lost because it arrived during the wait.
func TestRelayedCallerCloses(t *testing.T) {
	tests := map[string]struct {
		early  bool // a call arrives before
		closes bool
		want   bool
	}{
		"the session ends":           {closes: true, want: true},
		"the wait ends":              {},
		"a call arrives":             {early: true},
		"a call arrives, then ended": {early: true, closes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := make(chan relay.Call, 1)
				replies := 0
				c := &relayedCaller{
					session: relay.Session{Calls: calls, Reply: func(*relay.Reply) error { replies++; return nil }},
					owner:   &callerSession{state: session.NewSession()},
				}
				if test.early {
					calls <- relay.Call{Request: statement.Request{ID: "r2"}}
				}
				if test.closes {
					close(calls)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if got := c.AwaitClose(ctx); got != test.want {
					t.Errorf("got closed: %v, want %v", got, test.want)
				}
				if test.early {
					if got, err := c.ReadRequest(time.Time{}); err != nil || got.ID != "r2" {
						t.Errorf("got request %q, %v, want r2", got.ID, err)
					}
				}
			})
		})
	}
}

// BenchmarkCloseWatch measures what the watch costs a statement that doesn't wait for long.
func BenchmarkCloseWatch(b *testing.B) {
	w := &closeWatch{caller: &leavingCaller{}, cancel: func() {}}
	b.ReportAllocs()
	for b.Loop() {
		w.begin(b.Context())
		w.end()
	}
}
