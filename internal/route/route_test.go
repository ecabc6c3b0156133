package route

import (
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// start is the time of every decision in the tests.
var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// age returns a pointer to a model.Age.
func age(d time.Duration) *model.Age {
	a := model.Age(d)
	return &a
}

// instance returns a reachable replica that was observed at the start.
func instance(id model.InstanceID, centre model.DataCentreID, region model.RegionID, position model.Position, lag time.Duration) view.Instance {
	return view.Instance{
		Instance: model.Instance{ID: id, Database: "seats", DataCentre: centre, Region: region},
		State: model.InstanceState{
			Instance: id, Role: model.RoleReplica, Term: 3,
			Point: model.Point{Term: 3, Position: position}, Age: model.Age(lag), Slots: 2,
		},
		ObservedAt: start,
		Reachable:  true,
	}
}

// seatsDatabase returns a database in term 3 with a primary and two replicas, the second in another region; change may be nil.
func seatsDatabase(change func(db *view.Database)) *view.Database {
	db := &view.Database{
		ID: "seats", Owner: "h-1", Term: 3, Primary: "p", Serving: true,
		Timeline: model.Timeline{{Term: 2, Position: 40}, {Term: 3, Position: 80}},
		Instances: []view.Instance{
			instance("p", "dc-1", "east", 100, 0),
			instance("near", "dc-1", "east", 90, 10*time.Millisecond),
			instance("far", "dc-3", "west", 95, 10*time.Millisecond),
		},
	}
	db.Instances[0].State.Role = model.RolePrimary
	if change != nil {
		change(db)
	}
	return db
}

// read returns a read by a session that has seen the point.
func read(term model.Term, position model.Position) Request {
	return Request{
		Access: model.Read, HasToken: true, MinPoint: model.Point{Term: term, Position: position},
		DataCentre: "dc-1", Region: "east",
	}
}

// loads maps each instance to its expected queueing time.
type loads map[model.InstanceID]time.Duration

func (l loads) Delay(id model.InstanceID) time.Duration { return l[id] }

func TestChoose(t *testing.T) {
	with := func(request Request, change func(*Request)) Request {
		change(&request)
		return request
	}
	tests := map[string]struct {
		db      *view.Database
		request Request
		choice  model.InstanceID
		reason  Reason
		wait    time.Duration
	}{
		"write":                        {request: Request{Access: model.Write, HasToken: true}, choice: "p", reason: Primary},
		"read in transaction":          {request: with(read(3, 1), func(r *Request) { r.InTransaction = true }), choice: "p", reason: Primary},
		"read without token":           {request: Request{Access: model.Read}, choice: "p", reason: Primary},
		"max age without token":        {request: Request{Access: model.Read, MaxAge: age(time.Second), DataCentre: "dc-1"}, choice: "near", reason: Recent},
		"both replicas hold the point": {request: read(3, 90), choice: "near", reason: Current},
		"near replica catches up sooner than the far one responds": {request: with(read(3, 95), func(r *Request) { r.Patience = time.Hour }), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"request from the far data centre":                         {request: with(read(3, 90), func(r *Request) { r.DataCentre, r.Region = "dc-3", "west" }), choice: "far", reason: Current},
		"short wait":                                               {request: read(3, 100), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"point written long ago": {
			request: with(read(3, 100), func(r *Request) { r.WrittenAt = start.Add(-time.Second) }),
			choice:  "near", reason: CatchingUp, wait: catchUpSlack,
		},
		"replicas lag by seconds": {
			db: seatsDatabase(func(db *view.Database) {
				for i := 1; i < 3; i++ {
					db.Instances[i].State.Age = model.Age(10 * time.Second)
				}
			}),
			request: read(3, 100), choice: "p", reason: PrimaryFaster,
		},
		"near replica exceeds the max age": {
			db:      seatsDatabase(func(db *view.Database) { db.Instances[1].State.Age = model.Age(2 * time.Second) }),
			request: Request{Access: model.Read, MaxAge: age(time.Second), DataCentre: "dc-1"}, choice: "far", reason: Recent,
		},
		"new session, data hours old": {
			db: seatsDatabase(func(db *view.Database) {
				for i := 1; i < 3; i++ {
					db.Instances[i].State.Age = model.Age(time.Hour)
				}
			}),
			request: read(0, 0), choice: "p", reason: NoReplica,
		},
		"near replica is loaded": {request: with(read(3, 90), func(r *Request) { r.Loads = loads{"near": time.Second} }), choice: "far", reason: Current},
		"primary is loaded":      {request: with(read(3, 100), func(r *Request) { r.Loads = loads{"p": time.Second} }), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"all replicas loaded":    {request: with(read(3, 90), func(r *Request) { r.Loads = loads{"near": time.Second, "far": time.Second} }), choice: "p", reason: PrimaryFaster},
		"deadline before the replica catches up": {
			request: with(read(3, 100), func(r *Request) { r.TimeLeft = 5 * time.Millisecond }),
			choice:  "p", reason: NoReplica,
		},
		"leaving replica": {db: seatsDatabase(func(db *view.Database) { db.Instances[1].Leaving = true }), request: read(3, 90), choice: "far", reason: Current},
		"replica reports that it is leaving": {
			db:      seatsDatabase(func(db *view.Database) { db.Instances[1].State.Leaving = true }),
			request: read(3, 90), choice: "far", reason: Current,
		},
		"unreachable replica": {db: seatsDatabase(func(db *view.Database) { db.Instances[1].Reachable = false }), request: read(3, 90), choice: "far", reason: Current},
		"fenced":              {db: seatsDatabase(func(db *view.Database) { db.Instances[1].State.Role = model.RoleFenced }), request: read(3, 90), choice: "far", reason: Current},
		"outdated state":      {db: seatsDatabase(func(db *view.Database) { db.Instances[1].ObservedAt = start.Add(-time.Minute) }), request: read(3, 90), choice: "far", reason: Current},
		"after one refusal":   {request: with(read(3, 90), func(r *Request) { r.Tried = r.Tried.With(1) }), choice: "far", reason: Current},
		"after two refusals":  {request: with(read(3, 90), func(r *Request) { r.Tried = r.Tried.With(1).With(2) }), choice: "p", reason: NoReplica},
		"after all refusals":  {request: with(read(3, 90), func(r *Request) { r.Tried = r.Tried.With(0).With(1).With(2) }), reason: None},
		"write after refusal": {request: Request{Access: model.Write, Tried: IndexSet(0).With(0)}, reason: None},
		"point of an older term, kept by the failover":      {request: read(2, 75), choice: "near", reason: Current},
		"point of an older term, discarded by the failover": {request: read(2, 85), reason: Lost},
		"term newer than the timeline": {
			db:      seatsDatabase(func(db *view.Database) { db.Term = 4 }),
			request: with(read(4, 100), func(r *Request) { r.WrittenAt = start.Add(-time.Second) }), choice: "near", reason: CatchingUp, wait: catchUpSlack,
		},
		"replica hasn't reached the new term": {
			db:      seatsDatabase(func(db *view.Database) { db.Instances[1].State.Point = model.Point{Term: 2, Position: 90} }),
			request: read(3, 81), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond,
		},
		"no primary known": {db: seatsDatabase(func(db *view.Database) { db.Primary = "" }), request: read(3, 90), choice: "near", reason: Current},
		"no instances":     {db: &view.Database{ID: "seats"}, request: read(0, 0), reason: None},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			db := test.db
			if db == nil {
				db = seatsDatabase(nil)
			}
			got := Choose(db, test.request, start)
			if got.Instance != test.choice || got.Reason != test.reason || got.MaxWait != test.wait {
				t.Errorf("got %q for reason %d with a wait of %v, want %q for reason %d with a wait of %v",
					got.Instance, got.Reason, got.MaxWait, test.choice, test.reason, test.wait)
			}
		})
	}
}

func TestChooseSpreadsEqualReplicas(t *testing.T) {
	db := seatsDatabase(func(db *view.Database) { db.Instances[2].DataCentre = "dc-1" })
	got := map[model.InstanceID]int{}
	for random := range uint32(300) {
		request := read(3, 90)
		request.Random = random
		got[Choose(db, request, start).Instance]++
	}
	for _, id := range []model.InstanceID{"near", "far"} {
		if got[id] < 90 {
			t.Errorf("got %d of 300 reads on %s, want at least 90", got[id], id)
		}
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	db := seatsDatabase(nil)
	request := read(3, 100)
	if got := testing.AllocsPerRun(100, func() { Choose(db, request, start) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	db := seatsDatabase(nil)
	requests := map[string]Request{"write": {Access: model.Write}, "read": read(3, 90), "wait": read(3, 100)}
	for name, request := range requests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request.Random++
				Choose(db, request, start)
			}
		})
	}
}
