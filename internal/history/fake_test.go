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

// errNoResponse is the error of an answer that stayed away.
var errNoResponse = errors.New("the answer was lost")

// entry is one place of a log: a request that appended its id to a list.
type entry struct {
	point   model.Point
	request model.RequestID
	lists   []string
	written time.Time
}

// faultRates are the shares of calls that go wrong, and who can't be reached.
type faultRates struct {
	loseRequest  float64 // the call has no effect and no answer
	loseResponse float64 // the call has its effect and no answer
	duplicate    float64 // the call arrives twice
	deferEffect  float64 // the call has no answer, and its effect comes later unless its connection is closed by then
	latency      time.Duration
}

// fakeDatabase is a fake database: its instances live in memory behind the endpoint interface.
type fakeDatabase struct {
	mutex     sync.Mutex
	random    *rand.Rand
	faults    faultRates
	instances map[model.InstanceID]*fakeInstance
	opened    int
}

// fakeInstance is one instance; the group's mutex guards it.
type fakeInstance struct {
	group    *fakeDatabase
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

// newFakeDatabase returns a database of the named instances, the first of which is primary of term 1.
func newFakeDatabase(seed uint64, database model.DatabaseID, ids ...model.InstanceID) *fakeDatabase {
	g := &fakeDatabase{random: rand.New(rand.NewPCG(seed, seed)), instances: map[model.InstanceID]*fakeInstance{}}
	for _, id := range ids {
		g.instances[id] = &fakeInstance{
			group: g, info: model.Instance{ID: id, Database: database}, role: model.RoleReplica,
			term: 1, primary: ids[0], timeline: model.Timeline{{Term: 1}},
		}
	}
	g.instances[ids[0]].role = model.RolePrimary
	return g
}

// chance reports true with the probability.
func (g *fakeDatabase) chance(probability float64) bool {
	return g.random.Float64() < probability
}

// call runs an effect under the group's faults; later is its form that may come after the call has ended, or nil.
func (g *fakeDatabase) call(ctx context.Context, f *fakeInstance, effect func() error, later func()) error {
	g.mutex.Lock()
	late, before, double, after := g.faults.latency, g.chance(g.faults.loseRequest), g.chance(g.faults.duplicate), g.chance(g.faults.loseResponse)
	linger, delay := g.chance(g.faults.deferEffect), time.Duration(g.random.IntN(int(maxDeferral)))
	g.mutex.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if f.isolated || before {
		return errNoResponse
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if linger && later != nil {
		go g.runDeferred(f, delay, later)
		return errNoResponse
	}
	err := effect()
	if double {
		_ = effect()
	}
	if after {
		return errNoResponse
	}
	return err
}

// maxDeferral is the longest time until the effect of a lingering call.
const maxDeferral = time.Second

// runDeferred runs an effect after the delay.
func (g *fakeDatabase) runDeferred(f *fakeInstance, delay time.Duration, effect func()) {
	time.Sleep(delay)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !f.isolated {
		effect()
	}
}

// replicate copies to every replica what its primary wrote longer ago than its lag.
func (g *fakeDatabase) replicate(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, f := range g.instances {
		source := g.instances[f.primary]
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

// promote makes the instance primary of a later term, after fencing every instance that can be reached.
func (g *fakeDatabase) promote(term model.Term, id model.InstanceID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	chosen := g.instances[id]
	chosen.promote(term)
	for _, f := range g.instances {
		if f != chosen && !f.isolated {
			f.follow(term, chosen)
		}
	}
}

// mostAdvanced returns the reachable instance with the longest log that fencing finds.
func (g *fakeDatabase) mostAdvanced() model.InstanceID {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var best *fakeInstance
	for _, id := range []model.InstanceID{"p", "q", "r"} {
		f := g.instances[id]
		if !f.isolated && (best == nil || f.point().Compare(best.point()) > 0) {
			best = f
		}
	}
	return best.info.ID
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

// state returns what the instance says of itself.
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

// promote makes the instance primary of the term.
func (f *fakeInstance) promote(term model.Term) {
	if term > f.term || f.role != model.RolePrimary {
		f.timeline = append(f.timeline, model.Point{Term: term, Position: model.Position(len(f.log))})
	}
	f.role, f.term = model.RolePrimary, term
}

// follow makes the instance a replica and cuts its log back to where it agrees with the primary's.
func (f *fakeInstance) follow(term model.Term, primary *fakeInstance) {
	f.role, f.term, f.primary = model.RoleReplica, term, primary.info.ID
	same := 0
	for same < min(len(f.log), len(primary.log)) && f.log[same].point == primary.log[same].point {
		same++
	}
	f.log = f.log[:same]
	f.timeline = slices.Clone(primary.timeline)
}

// refuse returns a refusal with the instance's state.
func (f *fakeInstance) refuse(code model.Code, message string) error {
	refusal := model.Refuse(code, "%s: %s", f.info.ID, message)
	state := f.state()
	refusal.State, refusal.Term = &state, f.term
	return refusal
}

// recorded returns the entry of a request id.
func (f *fakeInstance) recorded(request model.RequestID) (entry, bool) {
	i := slices.IndexFunc(f.log, func(e entry) bool { return e.request == request })
	if i < 0 {
		return entry{}, false
	}
	return f.log[i], true
}

// append writes one entry, or returns the one that the request wrote before.
func (f *fakeInstance) append(request model.RequestID, lists []string) model.Result {
	if old, found := f.recorded(request); found {
		return model.Result{Request: request, Done: true, Repeated: true, Point: old.point, Instance: f.info.ID, Role: f.role}
	}
	point := model.Point{Term: f.term, Position: model.Position(len(f.log) + 1)}
	f.log = append(f.log, entry{point: point, request: request, lists: lists, written: time.Now()})
	return model.Result{Request: request, Done: true, Point: point, Instance: f.info.ID, Role: f.role}
}

// list returns the request ids that were appended to a list.
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
	err := f.group.call(ctx, f, func() error {
		if term < f.term {
			return f.refuse(model.CodeWrongTerm, "fenced")
		}
		f.group.opened++
		connection = &fakeConn{fake: f, id: model.ConnectionID(fmt.Sprint(f.info.ID, "-", f.group.opened))}
		return nil
	}, nil)
	if err != nil {
		return nil, model.InstanceState{}, err
	}
	state, err := f.State(ctx)
	return connection, state, err
}

// State returns what the instance says of itself.
func (f *fakeInstance) State(ctx context.Context) (state model.InstanceState, err error) {
	err = f.group.call(ctx, f, func() error {
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Await returns the state when the instance holds the point or the limit has passed.
func (f *fakeInstance) Await(ctx context.Context, least model.Point, limit time.Duration) (model.InstanceState, error) {
	end := time.Now().Add(limit)
	for {
		state, err := f.State(ctx)
		if err != nil || state.Timeline.Relate(state.Point, least) == model.Covered || !time.Now().Before(end) {
			return state, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Fence raises the term.
func (f *fakeInstance) Fence(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = f.group.call(ctx, f, func() error {
		if term > f.term {
			f.term, f.role = term, model.RoleFenced
		}
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Promote makes the instance primary.
func (f *fakeInstance) Promote(ctx context.Context, term model.Term) (state model.InstanceState, err error) {
	err = f.group.call(ctx, f, func() error {
		f.promote(term)
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Follow makes the instance a replica.
func (f *fakeInstance) Follow(ctx context.Context, term model.Term, primary model.Instance) (state model.InstanceState, err error) {
	err = f.group.call(ctx, f, func() error {
		f.follow(term, f.group.instances[primary.ID])
		state = f.state()
		return nil
	}, nil)
	return state, err
}

// Outcome returns the recorded result of a request id.
func (f *fakeInstance) Outcome(ctx context.Context, term model.Term, request model.RequestID) (result model.Result, found bool, err error) {
	err = f.group.call(ctx, f, func() error {
		if term != f.term || f.role != model.RolePrimary {
			return f.refuse(model.CodeWrongTerm, "not primary of the term")
		}
		var old entry
		old, found = f.recorded(request)
		result = model.Result{Request: request, Done: found, Repeated: found, Point: old.point, Instance: f.info.ID, Role: f.role}
		return nil
	}, nil)
	return result, found, err
}
