package route

import (
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// start is the moment of every decision in the tests.
var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// age returns a pointer to the age.
func age(d time.Duration) *model.Age {
	a := model.Age(d)
	return &a
}

// instance returns a reachable instance that was observed at the start.
func instance(id model.InstanceID, place model.DataCentreID, region model.RegionID, position model.Position, lag time.Duration) view.Instance {
	return view.Instance{
		Instance: model.Instance{ID: id, Database: "seats", DataCentre: place, Region: region},
		State: model.InstanceState{
			Instance: id, Role: model.RoleReplica, Term: 3,
			Point: model.Point{Term: 3, Position: position}, Age: model.Age(lag), Slots: 2,
		},
		Observed:  start,
		Reachable: true,
	}
}

// seats returns a database in term 3 with a primary and two replicas, the second far away; change may be nil.
func seats(change func(db *view.Database)) *view.Database {
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

// read returns a read of a session that has seen the point.
func read(term model.Term, position model.Position) Request {
	return Request{
		Access: model.Read, HasToken: true, MinPoint: model.Point{Term: term, Position: position},
		DataCentre: "dc-1", Region: "east",
	}
}

// loads is the expected wait by instance.
type loads map[model.InstanceID]time.Duration

func (l loads) Delay(id model.InstanceID) time.Duration { return l[id] }

func TestChoose(t *testing.T) {
	with := func(want Request, change func(*Request)) Request {
		change(&want)
		return want
	}
	tests := map[string]struct {
		db     *view.Database
		want   Request
		choice model.InstanceID
		reason Reason
		wait   time.Duration
	}{
		"write":                {want: Request{Access: model.Write, HasToken: true}, choice: "p", reason: Primary},
		"read in transaction":  {want: with(read(3, 1), func(w *Request) { w.InTransaction = true }), choice: "p", reason: Primary},
		"read without token":   {want: Request{Access: model.Read}, choice: "p", reason: Primary},
		"age without token":    {want: Request{Access: model.Read, MaxAge: age(time.Second), DataCentre: "dc-1"}, choice: "near", reason: Recent},
		"covered by both":      {want: read(3, 90), choice: "near", reason: Current},
		"covered by the far":   {want: with(read(3, 95), func(w *Request) { w.Patience = time.Hour }), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"nearness of far host": {want: with(read(3, 90), func(w *Request) { w.DataCentre, w.Region = "dc-3", "west" }), choice: "far", reason: Current},
		"short wait":           {want: read(3, 100), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"written long ago": {
			want:   with(read(3, 100), func(w *Request) { w.WrittenAt = start.Add(-time.Second) }),
			choice: "near", reason: CatchingUp, wait: catchUpSlack,
		},
		"lag far behind": {
			db: seats(func(db *view.Database) {
				for i := 1; i < 3; i++ {
					db.Instances[i].State.Age = model.Age(10 * time.Second)
				}
			}),
			want: read(3, 100), choice: "p", reason: PrimaryFaster,
		},
		"too old for the age": {
			db:   seats(func(db *view.Database) { db.Instances[1].State.Age = model.Age(2 * time.Second) }),
			want: Request{Access: model.Read, MaxAge: age(time.Second), DataCentre: "dc-1"}, choice: "far", reason: Recent,
		},
		"nothing seen, data hours old": {
			db: seats(func(db *view.Database) {
				for i := 1; i < 3; i++ {
					db.Instances[i].State.Age = model.Age(time.Hour)
				}
			}),
			want: read(0, 0), choice: "p", reason: NoReplica,
		},
		"loaded replica":      {want: with(read(3, 90), func(w *Request) { w.Loads = loads{"near": time.Second} }), choice: "far", reason: Current},
		"primary is loaded":   {want: with(read(3, 100), func(w *Request) { w.Loads = loads{"p": time.Second} }), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond},
		"all replicas loaded": {want: with(read(3, 90), func(w *Request) { w.Loads = loads{"near": time.Second, "far": time.Second} }), choice: "p", reason: PrimaryFaster},
		"deadline before catching up": {
			want:   with(read(3, 100), func(w *Request) { w.TimeLeft = 5 * time.Millisecond }),
			choice: "p", reason: NoReplica,
		},
		"leaving replica": {db: seats(func(db *view.Database) { db.Instances[1].Leaving = true }), want: read(3, 90), choice: "far", reason: Current},
		"replica says it leaves": {
			db:   seats(func(db *view.Database) { db.Instances[1].State.Leaving = true }),
			want: read(3, 90), choice: "far", reason: Current,
		},
		"unreachable":         {db: seats(func(db *view.Database) { db.Instances[1].Reachable = false }), want: read(3, 90), choice: "far", reason: Current},
		"fenced":              {db: seats(func(db *view.Database) { db.Instances[1].State.Role = model.RoleFenced }), want: read(3, 90), choice: "far", reason: Current},
		"state is old":        {db: seats(func(db *view.Database) { db.Instances[1].Observed = start.Add(-time.Minute) }), want: read(3, 90), choice: "far", reason: Current},
		"after one refusal":   {want: with(read(3, 90), func(w *Request) { w.Tried = w.Tried.With(1) }), choice: "far", reason: Current},
		"after two refusals":  {want: with(read(3, 90), func(w *Request) { w.Tried = w.Tried.With(1).With(2) }), choice: "p", reason: NoReplica},
		"after all refusals":  {want: with(read(3, 90), func(w *Request) { w.Tried = w.Tried.With(0).With(1).With(2) }), reason: None},
		"write after refusal": {want: Request{Access: model.Write, Tried: IndexSet(0).With(0)}, reason: None},
		"older term, kept":    {want: read(2, 75), choice: "near", reason: Current},
		"older term, lost":    {want: read(2, 85), reason: Lost},
		"term newer than the timeline": {
			db:   seats(func(db *view.Database) { db.Term = 4 }),
			want: with(read(4, 100), func(w *Request) { w.WrittenAt = start.Add(-time.Second) }), choice: "near", reason: CatchingUp, wait: catchUpSlack,
		},
		"replica without the fork": {
			db:   seats(func(db *view.Database) { db.Instances[1].State.Point = model.Point{Term: 2, Position: 90} }),
			want: read(3, 81), choice: "near", reason: CatchingUp, wait: 20 * time.Millisecond,
		},
		"no primary known": {db: seats(func(db *view.Database) { db.Primary = "" }), want: read(3, 90), choice: "near", reason: Current},
		"no instances":     {db: &view.Database{ID: "seats"}, want: read(0, 0), reason: None},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			db := test.db
			if db == nil {
				db = seats(nil)
			}
			got := Choose(db, test.want, start)
			if got.Instance != test.choice || got.Reason != test.reason || got.MaxWait != test.wait {
				t.Errorf("got %q for reason %d with a wait of %v, want %q for reason %d with a wait of %v",
					got.Instance, got.Reason, got.MaxWait, test.choice, test.reason, test.wait)
			}
		})
	}
}

func TestChooseSpreadsEqualReplicas(t *testing.T) {
	db := seats(func(db *view.Database) { db.Instances[2].DataCentre = "dc-1" })
	got := map[model.InstanceID]int{}
	for draw := range uint32(300) {
		want := read(3, 90)
		want.Random = draw
		got[Choose(db, want, start).Instance]++
	}
	for _, id := range []model.InstanceID{"near", "far"} {
		if got[id] < 90 {
			t.Errorf("got %d of 300 reads on %s, want at least 90", got[id], id)
		}
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	db := seats(nil)
	want := read(3, 100)
	if got := testing.AllocsPerRun(100, func() { Choose(db, want, start) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	db := seats(nil)
	wants := map[string]Request{"write": {Access: model.Write}, "read": read(3, 90), "wait": read(3, 100)}
	for name, want := range wants {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				want.Random++
				Choose(db, want, start)
			}
		})
	}
}
