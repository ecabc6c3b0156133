package history_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// errNoResponse is the error of a call whose request or response was lost.
var errNoResponse = errors.New("no response")

// entry is a log entry: a request that appended its id to one or more lists.
type entry struct {
	point   model.Point
	request model.RequestID
	lists   []string
	written time.Time
}

// faultRates holds the probability of each fault per call, and the latency of every call.
type faultRates struct {
	loseRequest  float64 // the request is lost: no effect, no response
	loseResponse float64 // the response is lost after the effect
	duplicate    float64 // the request is delivered twice
	deferEffect  float64 // no response, and the effect follows later unless its connection is closed by then
	latency      time.Duration
}

// fakeDatabase is an in-memory database whose instances implement the endpoint interface.
type fakeDatabase struct {
	mutex     sync.Mutex
	random    *rand.Rand
	faults    faultRates
	instances map[model.InstanceID]*fakeInstance
	opened    int // number of connections opened, which makes their ids unique
}

// fakeInstance is one instance; the database's mutex guards it.
type fakeInstance struct {
	database *fakeDatabase
	info     model.Instance
	role     model.Role
	term     model.Term
	primary  model.InstanceID
	log      []entry
	timeline model.Timeline
	lag      time.Duration
	isolated bool
	leaving  bool
}

// newFakeDatabase returns a database of the given instances, the first of which is primary of term 1.
func newFakeDatabase(seed uint64, database model.DatabaseID, ids ...model.InstanceID) *fakeDatabase {
	d := &fakeDatabase{random: rand.New(rand.NewPCG(seed, seed)), instances: map[model.InstanceID]*fakeInstance{}}
	for _, id := range ids {
		d.instances[id] = &fakeInstance{
			database: d, info: model.Instance{ID: id, Database: database}, role: model.RoleReplica,
			term: 1, primary: ids[0], timeline: model.Timeline{{Term: 1}},
		}
	}
	d.instances[ids[0]].role = model.RolePrimary
	return d
}

// chance returns true with the given probability.
func (d *fakeDatabase) chance(probability float64) bool {
	return d.random.Float64() < probability
}

// call runs an effect under the configured faults; later is the effect to run after the call has ended, or nil if it can't
// be deferred.
func (d *fakeDatabase) call(ctx context.Context, f *fakeInstance, effect func() error, later func()) error {
	d.mutex.Lock()
	latency, loseRequest, duplicate, loseResponse := d.faults.latency, d.chance(d.faults.loseRequest), d.chance(d.faults.duplicate), d.chance(d.faults.loseResponse)
	deferEffect, delay := d.chance(d.faults.deferEffect), time.Duration(d.random.IntN(int(maxDeferral)))
	d.mutex.Unlock()
	if latency > 0 {
		time.Sleep(latency)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if f.isolated || loseRequest {
		return errNoResponse
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if deferEffect && later != nil {
		go d.runDeferred(f, delay, later)
		return errNoResponse
	}
	err := effect()
	if duplicate {
		_ = effect()
	}
	if loseResponse {
		return errNoResponse
	}
	return err
}

// maxDeferral is the upper bound of the delay of a deferred effect.
const maxDeferral = time.Second

// runDeferred runs an effect after the delay, unless the instance is isolated then.
func (d *fakeDatabase) runDeferred(f *fakeInstance, delay time.Duration, effect func()) {
	time.Sleep(delay)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !f.isolated {
		effect()
	}
}

// replicate copies to every replica the entries of its primary that are at least as old as the replica's lag.
func (d *fakeDatabase) replicate(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, f := range d.instances {
		source := d.instances[f.primary]
		if f.role != model.RoleReplica || f.isolated || source == nil || source.isolated || source.role != model.RolePrimary || source.term != f.term {
			continue
		}
		f.timeline = slices.Clone(source.timeline)
		for _, e := range source.log[min(len(f.log), len(source.log)):] {
			if now.Sub(e.written) >= f.lag {
				f.log = append(f.log, e)
			}
		}
	}
}

// promote makes the instance primary of a later term; every other reachable instance follows it.
func (d *fakeDatabase) promote(term model.Term, id model.InstanceID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	chosen := d.instances[id]
	chosen.promote(term)
	for _, f := range d.instances {
		if f != chosen && !f.isolated {
			f.follow(term, chosen)
		}
	}
}

// mostAdvanced returns the reachable instance with the most advanced log.
func (d *fakeDatabase) mostAdvanced() model.InstanceID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var chosen *fakeInstance
	for _, id := range []model.InstanceID{"p", "q", "r"} {
		f := d.instances[id]
		if !f.isolated && (chosen == nil || f.point().Compare(chosen.point()) > 0) {
			chosen = f
		}
	}
	return chosen.info.ID
}

// point returns the newest term whose start the log reaches, and the log's length.
func (f *fakeInstance) point() model.Point {
	point := model.Point{Position: model.Position(len(f.log))}
	for _, start := range f.timeline {
		if start.Position <= point.Position {
			point.Term = start.Term
		}
	}
	return point
}

// state returns the state that the instance reports.
func (f *fakeInstance) state() model.InstanceState {
	age := model.Age(f.lag)
	if f.role == model.RolePrimary {
		age = 0
	}
	return model.InstanceState{
		Instance: f.info.ID, Database: f.info.Database, Role: f.role, Term: f.term, Point: f.point(),
		Timeline: slices.Clone(f.timeline), Age: age, Slots: 4, Connections: 16, Leaving: f.leaving,
	}
}

// promote makes the instance primary of the term and records the start of the term in its timeline.
func (f *fakeInstance) promote(term model.Term) {
	if term > f.term || f.role != model.RolePrimary {
		f.timeline = append(f.timeline, model.Point{Term: term, Position: model.Position(len(f.log))})
	}
	f.role, f.term = model.RolePrimary, term
}

// follow makes the instance a replica and truncates its log to the prefix that it shares with the primary's.
func (f *fakeInstance) follow(term model.Term, primary *fakeInstance) {
	f.role, f.term, f.primary = model.RoleReplica, term, primary.info.ID
	shared := 0
	for shared < min(len(f.log), len(primary.log)) && f.log[shared].point == primary.log[shared].point {
		shared++
	}
	f.log = f.log[:shared]
	f.timeline = slices.Clone(primary.timeline)
}

// refuse returns a refusal that carries the instance's state.
func (f *fakeInstance) refuse(code model.Code, message string) error {
	refusal := model.Refuse(code, "%s: %s", f.info.ID, message)
	state := f.state()
	refusal.State, refusal.Term = &state, f.term
	return refusal
}

// recorded returns the log entry of a request id, if there is one.
func (f *fakeInstance) recorded(request model.RequestID) (entry, bool) {
	i := slices.IndexFunc(f.log, func(e entry) bool { return e.request == request })
	if i < 0 {
		return entry{}, false
	}
	return f.log[i], true
}

// append writes a log entry, or returns the existing entry of the request.
func (f *fakeInstance) append(request model.RequestID, lists []string) model.Result {
	if old, found := f.recorded(request); found {
		return model.Result{Request: request, Succeeded: true, Repeated: true, Point: old.point, Instance: f.info.ID, Role: f.role}
	}
	point := model.Point{Term: f.term, Position: model.Position(len(f.log) + 1)}
	f.log = append(f.log, entry{point: point, request: request, lists: lists, written: time.Now()})
	return model.Result{Request: request, Succeeded: true, Point: point, Instance: f.info.ID, Role: f.role}
}

// list returns the request ids appended to a list, one row each.
func (f *fakeInstance) list(name string) []model.Row {
	rows := []model.Row{}
	for _, e := range f.log {
		if slices.Contains(e.lists, name) {
			rows = append(rows, model.Row{"request": string(e.request)})
		}
	}
	return rows
}

// Open opens a connection.
func (f *fakeInstance) Open(ctx context.Context, _ model.HostID, _ model.DatabaseID, term model.Term) (endpoint.Conn, model.InstanceState, error) {
	var connection *fakeConn
	err := f.database.call(ctx, f, func() error {
		if term < f.term {
			return f.refuse(model.CodeWrongTerm, "fenced")
		}
		f.database.opened++
		connection = &fakeConn{instance: f, id: model.ConnectionID(fmt.Sprint(f.info.ID, "-", f.database.opened))}
		return nil
	}, nil)
	if err != nil {
		return nil, model.InstanceState{}, err
	}
	state, err := f.State(ctx)
	return connection, state, err
}

// State returns the state that the instance reports.
func (f *fakeInstance) State(ctx context.Context) (state model.InstanceState, err error) {
	err = f.database.call(ctx, f, func() error {
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Await returns the state once the instance has reached the point or the time limit has passed.
func (f *fakeInstance) Await(ctx context.Context, least model.Point, limit time.Duration) (model.InstanceState, error) {
	deadline := time.Now().Add(limit)
	for {
		state, err := f.State(ctx)
		if err != nil || state.Timeline.Relate(state.Point, least) == model.Covered || !time.Now().Before(deadline) {
			return state, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Fence fences the instance if the term is later than its own.
func (f *fakeInstance) Fence(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = f.database.call(ctx, f, func() error {
		if term > f.term {
			f.term, f.role = term, model.RoleFenced
		}
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Promote makes the instance primary of the term.
func (f *fakeInstance) Promote(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = f.database.call(ctx, f, func() error {
		f.promote(term)
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Follow makes the instance a replica of the primary.
func (f *fakeInstance) Follow(ctx context.Context, term model.Term, primary model.Instance) (state model.InstanceState, err error) {
	err = f.database.call(ctx, f, func() error {
		f.follow(term, f.database.instances[primary.ID])
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Outcome returns the recorded result of a request id.
func (f *fakeInstance) Outcome(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, found bool, err error) {
	err = f.database.call(ctx, f, func() error {
		if term != f.term || f.role != model.RolePrimary {
			return f.refuse(model.CodeWrongTerm, "not primary of the term")
		}
		var old entry
		old, found = f.recorded(request)
		result = model.Result{Request: request, Succeeded: found, Repeated: found, Point: old.point, Instance: f.info.ID, Role: f.role}
		return nil
	}, nil)
	return result, found, err
}
