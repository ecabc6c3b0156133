package history_test

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/route"
	"redwingspread/internal/session"
	"redwingspread/internal/view"
)

// directServer uses the session codec and the routing decision without a proxy or an owner, and opens a connection per request.
type directServer struct {
	database     *fakeDatabase
	databaseView *view.Database
	codec        session.Codec
	writeTimes   route.WriteTimes
	instances    map[model.InstanceID]endpoint.Instance
}

// newDirectServer returns a server of the fake database.
func newDirectServer(database *fakeDatabase) *directServer {
	d := &directServer{
		database:     database,
		databaseView: &view.Database{ID: "seats", Term: 1, Primary: "p", Serving: true},
		codec:        session.Codec{Key: []byte("test key")},
		instances:    map[model.InstanceID]endpoint.Instance{},
	}
	for _, id := range []model.InstanceID{"p", "q", "r"} {
		d.instances[id] = database.instances[id]
		d.databaseView.Instances = append(d.databaseView.Instances, view.Instance{Instance: database.instances[id].info, Reachable: true})
	}
	d.observe()
	return d
}

// close does nothing, since the server has no goroutines.
func (d *directServer) close() {}

// observe updates the view with the state of every reachable instance and the newest primary.
func (d *directServer) observe() {
	d.database.mutex.Lock()
	defer d.database.mutex.Unlock()
	for i := range d.databaseView.Instances {
		f := d.database.instances[d.databaseView.Instances[i].ID]
		if f.isolated {
			continue
		}
		d.databaseView.Instances[i].State = f.state()
		d.databaseView.Instances[i].ObservedAt = time.Now()
		if f.role == model.RolePrimary && f.term >= d.databaseView.Term {
			d.databaseView.Term, d.databaseView.Primary, d.databaseView.Timeline = f.term, f.info.ID, f.state().Timeline
		}
	}
}

// run serves one request and returns the session token to send next, which is valid also after an error.
func (d *directServer) run(ctx context.Context, text string, work model.Work) (model.Result, string, error) {
	token := session.New("s")
	if text != "" {
		var err error
		if token, err = d.codec.Decode(text); err != nil {
			return model.Result{}, text, err
		}
	}
	token, err := d.resolvePending(ctx, token)
	if err != nil {
		return model.Result{}, text, err
	}
	result, token, err := d.serve(ctx, token, work, text != "")
	text, encodeErr := d.codec.Encode(token)
	return result, text, errors.Join(err, encodeErr)
}

// resolvePending determines the outcome of the session's pending write.
func (d *directServer) resolvePending(ctx context.Context, token session.Token) (session.Token, error) {
	pending := token.Pending("seats")
	if pending == "" {
		return token, nil
	}
	result, found, err := d.instances[d.databaseView.Primary].Outcome(ctx, d.databaseView.Term, pending)
	if err != nil {
		return token, model.Refuse(model.CodeUnavailable, "the outcome of the pending write is unknown: %v", err)
	}
	if !found && !d.replicated(ctx) {
		return token, model.Refuse(model.CodeUnavailable, "the pending write may still take effect")
	}
	if found {
		token = token.RaisePoint("seats", result.Point)
	}
	return token.ClearPending("seats"), nil
}

// replicated reports whether a replica holds the primary's whole log, so that every later primary continues from it.
func (d *directServer) replicated(ctx context.Context) bool {
	primary, err := d.instances[d.databaseView.Primary].State(ctx)
	if err != nil || primary.Role != model.RolePrimary || primary.Term != d.databaseView.Term {
		return false
	}
	for id, instance := range d.instances {
		state, err := instance.State(ctx)
		if id != d.databaseView.Primary && err == nil && state.Term == d.databaseView.Term && state.Timeline.Relate(state.Point, primary.Point) == model.Covered {
			return true
		}
	}
	return false
}

// serve routes the work, and routes it again without the instances that could not serve it.
func (d *directServer) serve(ctx context.Context, token session.Token, work model.Work, hasToken bool) (model.Result, session.Token, error) {
	work.MinPoint = token.Point("seats")
	want := route.Request{Access: work.Statement.Access, HasToken: hasToken, MinPoint: work.MinPoint, WrittenAt: d.writeTimes.WrittenAt(work.MinPoint)}
	for {
		choice := route.Choose(d.databaseView, want, time.Now())
		if choice.Reason == route.Lost {
			return model.Result{}, token, model.Refuse(model.CodeLostWrite, "a write of the session is lost")
		}
		if choice.Instance == "" {
			return model.Result{}, token, model.Refuse(model.CodeUnavailable, "no instance is left")
		}
		result, err := d.attempt(ctx, choice, work)
		var refusal *model.Refusal
		switch {
		case err == nil:
			d.writeTimes.Record(result.Point, time.Now())
			return result, token.RaisePoint("seats", result.Point), nil
		case work.Statement.Access == model.Write && !(errors.As(err, &refusal) && refusal.NotRun):
			return model.Result{}, token.SetPending("seats", work.Request), model.OutcomeUnknown("%v", err)
		}
		want.Tried = want.Tried.With(choice.Index)
	}
}

// attempt runs the work on the chosen instance over a new connection.
func (d *directServer) attempt(ctx context.Context, choice route.Choice, work model.Work) (result model.Result, err error) {
	connection, _, err := d.instances[choice.Instance].Open(ctx, "h-1", "seats", choice.Term)
	if err != nil {
		return result, model.Refuse(model.CodeUnavailable, "%v", err)
	}
	defer func() { err = errors.Join(err, connection.Close(ctx)) }()
	work.MaxWait = choice.MaxWait
	result, _, err = connection.Run(ctx, choice.Term, work)
	return result, err
}
