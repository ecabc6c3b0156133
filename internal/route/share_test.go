package route

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// The work of the trial, which counts what choices lead to in a made-up database; it is no measurement of the system.
const (
	trialSessions = 40
	trialTime     = 2 * time.Minute
	trialThink    = 500 * time.Millisecond // mean time between two requests of a session
	trialWrites   = 0.1                    // share of the requests
	trialAged     = 0.3                    // share of the reads that accept data of the age below and bring no token
	trialAge      = time.Second
	trialPoll     = 100 * time.Millisecond // between two looks at every instance
)

// trial is the state of one run.
type trial struct {
	random  *rand.Rand
	choose  Chooser
	enforce bool // instances refuse a read whose least point they do not hold
	lags    []time.Duration
	db      *view.Database
	track   WriteTimes
	writes  []time.Time // when each position was written, from position 1 on

	reads, onReplicas, stale, refused, possible int
	latency                                     time.Duration
}

// newTrial returns a run with a replica for each lag.
func newTrial(choose Chooser, enforce bool, lags ...time.Duration) *trial {
	t := &trial{random: rand.New(rand.NewPCG(5, 7)), choose: choose, enforce: enforce, lags: append([]time.Duration{0}, lags...)}
	t.db = &view.Database{ID: "seats", Term: 1, Primary: "p", Timeline: model.Timeline{{Term: 1}}}
	for i, lag := range t.lags {
		id := model.InstanceID("p")
		if i > 0 {
			id = model.InstanceID("r" + string(rune('0'+i)))
		}
		t.db.Instances = append(t.db.Instances, instance(id, "dc-1", "east", 0, lag))
	}
	t.db.Instances[0].State.Role = model.RolePrimary
	return t
}

// run plays all sessions in the order of their requests.
func (t *trial) run() {
	next := make([]time.Time, trialSessions)
	points := make([]model.Point, trialSessions)
	for i := range next {
		next[i] = start.Add(t.think())
	}
	polled := start
	for {
		i := earliest(next)
		now := next[i]
		if now.Sub(start) > trialTime {
			return
		}
		for ; polled.Before(now); polled = polled.Add(trialPoll) {
			t.observeAll(polled)
		}
		points[i] = t.request(points[i], now)
		next[i] = now.Add(t.think())
	}
}

// think returns a random time between two requests.
func (t *trial) think() time.Duration {
	return time.Duration(t.random.ExpFloat64() * float64(trialThink))
}

// earliest returns the place of the earliest time.
func earliest(times []time.Time) int {
	best := 0
	for i := range times {
		if times[i].Before(times[best]) {
			best = i
		}
	}
	return best
}

// reached returns the position of an instance at the time.
func (t *trial) reached(place int, now time.Time) model.Position {
	until := now.Add(-t.lags[place])
	return model.Position(sort.Search(len(t.writes), func(i int) bool { return t.writes[i].After(until) }))
}

// observeAll looks at every instance.
func (t *trial) observeAll(now time.Time) {
	for place := range t.db.Instances {
		t.observe(place, now)
	}
}

// observe notes what an instance says at the time.
func (t *trial) observe(place int, now time.Time) {
	t.db.Instances[place].State.Point = model.Point{Term: 1, Position: t.reached(place, now)}
	t.db.Instances[place].Observed = now
}

// request plays one request of a session that has seen the point, and returns what it has seen then.
func (t *trial) request(seen model.Point, now time.Time) model.Point {
	if t.random.Float64() < trialWrites {
		t.writes = append(t.writes, now)
		point := model.Point{Term: 1, Position: model.Position(len(t.writes))}
		t.track.Record(point, now)
		return point
	}
	want := Request{Access: model.Read, HasToken: true, MinPoint: seen, DataCentre: "dc-1", Region: "east", Random: t.random.Uint32()}
	if t.random.Float64() < trialAged {
		limit := model.Age(trialAge)
		want.HasToken, want.MinPoint, want.MaxAge = false, model.Point{}, &limit
	}
	want.WrittenAt = t.track.WrittenAt(want.MinPoint)
	got := t.read(want, now)
	if want.HasToken && got > seen.Position {
		seen = model.Point{Term: 1, Position: got}
	}
	return seen
}

// read plays one read until an instance serves it, and returns the position that it saw.
func (t *trial) read(want Request, now time.Time) model.Position {
	t.reads++
	if t.mayServe(want, now) {
		t.possible++
	}
	began := now
	for {
		choice := t.choose(t.db, want, now)
		ready := t.ready(choice, want, now)
		if t.enforce && ready.Sub(now) > choice.MaxWait {
			t.refused++
			now = now.Add(choice.MaxWait + sameCentreRoundTrip)
			want.Tried = want.Tried.With(choice.Index)
			continue
		}
		if t.enforce {
			now = ready
		}
		now = now.Add(sameCentreRoundTrip + serviceTime)
		t.latency += now.Sub(began)
		return t.serve(choice, want, now)
	}
}

// ready returns when the chosen instance holds the least point.
func (t *trial) ready(choice Choice, want Request, now time.Time) time.Time {
	if want.MinPoint.Position == 0 {
		return now
	}
	holds := t.writes[want.MinPoint.Position-1].Add(t.lags[choice.Index])
	if holds.Before(now) {
		return now
	}
	return holds
}

// serve counts one answer.
func (t *trial) serve(choice Choice, want Request, now time.Time) model.Position {
	if choice.Role == model.RoleReplica {
		t.onReplicas++
	}
	got := t.reached(choice.Index, now)
	if got < want.MinPoint.Position || (want.MaxAge != nil && t.lags[choice.Index] > time.Duration(*want.MaxAge)) {
		t.stale++
	}
	return got
}

// mayServe reports whether a replica holds or will soon hold what the read asks for.
func (t *trial) mayServe(want Request, now time.Time) bool {
	for place := 1; place < len(t.lags); place++ {
		if want.MaxAge != nil && t.lags[place] > time.Duration(*want.MaxAge) {
			continue
		}
		if t.ready(Choice{Index: place}, want, now).Sub(now) <= DefaultPatience {
			return true
		}
	}
	return false
}

// BenchmarkShareTrial is a trial of the choices alone: share of reads on replicas, stale reads, refusals and mean latency.
func BenchmarkShareTrial(b *testing.B) {
	lags := map[string][]time.Duration{
		"lag=10ms":  {10 * time.Millisecond, 10 * time.Millisecond},
		"lag=100ms": {100 * time.Millisecond, 100 * time.Millisecond},
		"lag=1s":    {time.Second, time.Second},
		"lag=10s":   {10 * time.Second, 10 * time.Second},
		"lag=mixed": {10 * time.Millisecond, 10 * time.Second},
	}
	policies := map[string]struct {
		choose  Chooser
		enforce bool
	}{
		"choose":    {choose: Choose, enforce: true},
		"primary":   {choose: AllPrimary, enforce: true},
		"lag-limit": {choose: LagLimit(model.Age(trialAge))},
	}
	for lag, replicas := range lags {
		for policy, p := range policies {
			b.Run(lag+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					t := newTrial(p.choose, p.enforce, replicas...)
					t.run()
					b.ReportMetric(100*float64(t.onReplicas)/float64(t.reads), "%replica")
					b.ReportMetric(100*float64(t.possible)/float64(t.reads), "%possible")
					b.ReportMetric(float64(t.stale), "stale")
					b.ReportMetric(100*float64(t.refused)/float64(t.reads), "%refused")
					b.ReportMetric(float64(t.latency.Microseconds())/float64(t.reads), "us/read")
				}
			})
		}
	}
}
