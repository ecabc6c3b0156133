package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// TestStartWithoutThePlatform starts a host while the platform is down.
func TestStartWithoutThePlatform(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *world)
		learns  bool
	}{
		"a peer tells it":             {prepare: func(*world) {}, learns: true},
		"answers of peers are late":   {prepare: func(w *world) { w.delay = func() time.Duration { return 40 * time.Millisecond } }, learns: true},
		"no peer has it in its list":  {prepare: func(w *world) { w.hosts["h3"].host.Address = "elsewhere"; w.isolate("h3") }},
		"the platform comes back":     {prepare: func(w *world) { w.after(time.Second, func() { w.store.down = false }) }, learns: true},
		"the platform is only slow":   {prepare: func(w *world) { w.store.down = false; w.storeDelay = 2 * time.Second }, learns: true},
		"half of the answers are bad": {prepare: func(w *world) { w.every(700*time.Millisecond, func() { w.store.down = !w.store.down }) }, learns: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, 3)
			w.run(15 * time.Second)
			row := w.store.rows["d0"]
			const restarted model.HostID = "h3"
			w.store.down = true
			w.hosts[restarted].down = true
			w.run(5 * time.Second)
			w.boot(restarted)
			test.prepare(w)
			w.run(10 * time.Second)
			d := w.database(restarted, "d0")
			if got := d != nil && d.Owner != ""; got != test.learns {
				t.Errorf("got the owner known %v, want %v", got, test.learns)
			}
			if row.Owner != restarted && test.learns && d != nil && d.Owner != row.Owner {
				t.Errorf("got owner %s, want %s", d.Owner, row.Owner)
			}
		})
	}
}

// fakePlatform answers as it is told.
type fakePlatform struct {
	platform.Store
	rows   []platform.Row
	commit platform.Commit
	err    error
}

func (p *fakePlatform) Rows(context.Context, model.RowKey, model.Revision) ([]platform.Row, model.Revision, error) {
	return p.rows, 9, p.err
}

func (p *fakePlatform) Commit(context.Context, []platform.Check, []platform.Put) (platform.Commit, error) {
	return p.commit, p.err
}

func (p *fakePlatform) Members(context.Context) (platform.Members, error) {
	return platform.Members{Hosts: []model.Host{{ID: "h1"}}}, p.err
}

// fakeEndpoint names the call that it got in the state's instance.
type fakeEndpoint struct {
	endpoint.Instance
	err error
}

// answer returns a state that names the call.
func (e *fakeEndpoint) answer(call Call, term model.Term) (model.InstanceState, error) {
	return model.InstanceState{Instance: model.InstanceID(call), Term: term, Timeline: model.Timeline{{Term: term}}}, e.err
}

func (e *fakeEndpoint) State(context.Context) (model.InstanceState, error) {
	return e.answer(CallState, 3)
}

func (e *fakeEndpoint) Await(_ context.Context, least model.Point, _ time.Duration) (model.InstanceState, error) {
	return e.answer(CallAwait, least.Term)
}

func (e *fakeEndpoint) Fence(_ context.Context, term model.Term) (model.InstanceState, error) {
	return e.answer(CallFence, term)
}

func (e *fakeEndpoint) Promote(_ context.Context, term model.Term) (model.InstanceState, error) {
	return e.answer(CallPromote, term)
}

func (e *fakeEndpoint) Follow(_ context.Context, term model.Term, _ model.Instance) (model.InstanceState, error) {
	return e.answer(CallFollow, term)
}

func TestRunnerCallsInstances(t *testing.T) {
	down := errors.New("down")
	tests := map[string]struct {
		call Call
		err  error
		want model.InstanceID
	}{
		"state":            {call: CallState, want: "state"},
		"await":            {call: CallAwait, want: "await"},
		"drain is a state": {call: CallDrain, want: "state"},
		"adopt is a state": {call: CallAdopt, want: "state"},
		"fence":            {call: CallFence, want: "fence"},
		"promote":          {call: CallPromote, want: "promote"},
		"follow":           {call: CallFollow, want: "follow"},
		"no answer":        {call: CallFence, err: down, want: "fence"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := NewRunner()
			runner.Instance = func(model.Instance) endpoint.Instance { return &fakeEndpoint{err: test.err} }
			action := InstanceAction{Call: test.call, Instance: model.Instance{ID: "i", Database: "d"}, Term: 3, Point: model.Point{Term: 3}}
			got, ok := runner.Do(t.Context(), action).(InstanceResult)
			if !ok || got.Instance != "i" || got.Database != "d" || got.Term != 3 || got.Call != test.call {
				t.Fatalf("got result %+v, want one of the action", got)
			}
			if got.State.Instance != test.want || got.State.Term != 3 || !errors.Is(got.Err, test.err) {
				t.Errorf("got state %+v and error %v, want the call %s and %v", got.State, got.Err, test.want, test.err)
			}
		})
	}
}

func TestRunnerUsesThePlatform(t *testing.T) {
	down := errors.New("down")
	tests := map[string]struct {
		action Action
		err    error
		check  func(Event) bool
	}{
		"rows":                {action: ReadRows{}, check: func(e Event) bool { read := e.(RowsRead); return read.Err == nil && read.Revision == 9 }},
		"rows, store is down": {action: ReadRows{}, err: down, check: func(e Event) bool { return errors.Is(e.(RowsRead).Err, down) }},
		"list":                {action: ReadMembers{}, check: func(e Event) bool { return len(e.(MembersRead).Hosts) == 1 }},
		"commit that lost":    {action: CommitRow{Row: model.Ownership{Database: "d"}}, check: func(e Event) bool { done := e.(RowCommitted); return done.Err == nil && !done.Committed }},
		"commit, unknown":     {action: CommitRow{Row: model.Ownership{Database: "d"}}, err: down, check: func(e Event) bool { return errors.Is(e.(RowCommitted).Err, down) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := NewRunner()
			runner.Store = &fakePlatform{err: test.err}
			if got := runner.Do(t.Context(), test.action); !test.check(got) {
				t.Errorf("got %+v, want the result of the platform's answer", got)
			}
		})
	}
}
