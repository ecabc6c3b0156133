package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// fakeStore is a store with one host and no rows, at revision 9. Its calls return err; without an error, a commit has the zero
// result, which means a conflict.
type fakeStore struct {
	platform.Store
	rows   []platform.Row
	commit platform.CommitResult
	err    error
}

func (p *fakeStore) Rows(context.Context, model.RowKey, model.Revision) ([]platform.Row, model.Revision, error) {
	return p.rows, 9, p.err
}

func (p *fakeStore) Commit(context.Context, []platform.Check, []platform.Put) (platform.CommitResult, error) {
	return p.commit, p.err
}

func (p *fakeStore) Members(context.Context) (platform.Members, error) {
	return platform.Members{Hosts: []model.Host{{ID: "h1"}}}, p.err
}

// fakeEndpoint is an instance whose calls return the result of state.
type fakeEndpoint struct {
	endpoint.Instance
	err error
}

// state returns err and a state whose instance id is the name of the call.
func (e *fakeEndpoint) state(call fleet.Call, term model.Term) (model.InstanceState, error) {
	return model.InstanceState{Instance: model.InstanceID(call), Term: term, Timeline: model.Timeline{{Term: term}}}, e.err
}

func (e *fakeEndpoint) State(context.Context) (model.InstanceState, error) {
	return e.state(fleet.CallState, 3)
}

func (e *fakeEndpoint) Await(_ context.Context, least model.Point, _ time.Duration) (model.InstanceState, error) {
	return e.state(fleet.CallAwait, least.Term)
}

func (e *fakeEndpoint) Fence(_ context.Context, term model.Term) (model.InstanceState, error) {
	return e.state(fleet.CallFence, term)
}

func (e *fakeEndpoint) Promote(_ context.Context, term model.Term) (model.InstanceState, error) {
	return e.state(fleet.CallPromote, term)
}

func (e *fakeEndpoint) Follow(_ context.Context, term model.Term, _ model.Instance) (model.InstanceState, error) {
	return e.state(fleet.CallFollow, term)
}

func TestInstanceActions(t *testing.T) {
	unavailable := errors.New("down")
	tests := map[string]struct {
		call fleet.Call
		err  error
		want model.InstanceID
	}{
		"state":                 {call: fleet.CallState, want: "state"},
		"await":                 {call: fleet.CallAwait, want: "await"},
		"drain reads the state": {call: fleet.CallDrain, want: "state"},
		"adopt reads the state": {call: fleet.CallAdopt, want: "state"},
		"fence":                 {call: fleet.CallFence, want: "fence"},
		"promote":               {call: fleet.CallPromote, want: "promote"},
		"follow":                {call: fleet.CallFollow, want: "follow"},
		"failed call":           {call: fleet.CallFence, err: unavailable, want: "fence"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := New()
			runner.InstanceClient = func(model.Instance) endpoint.Instance { return &fakeEndpoint{err: test.err} }
			action := fleet.InstanceAction{Call: test.call, Instance: model.Instance{ID: "i", Database: "d"}, Term: 3, Point: model.Point{Term: 3}}
			got, ok := runner.Do(t.Context(), action).(fleet.InstanceResult)
			if !ok || got.Instance != "i" || got.Database != "d" || got.Term != 3 || got.Call != test.call {
				t.Fatalf("got result %+v, want the result of the action", got)
			}
			if got.State.Instance != test.want || got.State.Term != 3 || !errors.Is(got.Err, test.err) {
				t.Errorf("got state %+v and error %v, want the state of call %s and error %v", got.State, got.Err, test.want, test.err)
			}
		})
	}
}

func TestPlatformActions(t *testing.T) {
	unavailable := errors.New("down")
	tests := map[string]struct {
		action fleet.Action
		err    error
		check  func(fleet.Event) bool
	}{
		"rows":                         {action: fleet.ReadRows{}, check: func(e fleet.Event) bool { read := e.(fleet.RowsRead); return read.Err == nil && read.Revision == 9 }},
		"rows, platform unavailable":   {action: fleet.ReadRows{}, err: unavailable, check: func(e fleet.Event) bool { return errors.Is(e.(fleet.RowsRead).Err, unavailable) }},
		"members":                      {action: fleet.ReadMembers{}, check: func(e fleet.Event) bool { return len(e.(fleet.MembersRead).Hosts) == 1 }},
		"commit with a conflict":       {action: fleet.CommitRow{Row: model.Ownership{Database: "d"}}, check: func(e fleet.Event) bool { done := e.(fleet.RowCommitted); return done.Err == nil && !done.Committed }},
		"commit, platform unavailable": {action: fleet.CommitRow{Row: model.Ownership{Database: "d"}}, err: unavailable, check: func(e fleet.Event) bool { return errors.Is(e.(fleet.RowCommitted).Err, unavailable) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := New()
			runner.Store = &fakeStore{err: test.err}
			if got := runner.Do(t.Context(), test.action); !test.check(got) {
				t.Errorf("got event %+v, want the result of the platform's response", got)
			}
		})
	}
}
