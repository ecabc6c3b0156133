package route

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// The workload of the simulation, which runs routing decisions on a simulated database; it doesn't measure the real system.
const (
	sessions      = 40
	simulatedTime = 2 * time.Minute
	meanThinkTime = 500 * time.Millisecond // mean time between two requests of a session
	writeShare    = 0.1                    // share of writes among requests
	maxAgeShare   = 0.3                    // share of reads with a max age and no token
	readMaxAge    = time.Second
	pollInterval  = 100 * time.Millisecond // interval at which instance states are polled
)

// simulation is the state of one run.
type simulation struct {
	random     *rand.Rand
	choose     Chooser
	enforce    bool // instances refuse reads whose minimum point they don't hold
	lags       []time.Duration
	db         *view.Database
	writeTimes WriteTimes
	writtenAt  []time.Time // when each position was written, from position 1 on

	reads, onReplicas, stale, refused, possible int           // counts; possible counts the reads that a replica could have served
	latency                                     time.Duration // sum over all reads
}

// newSimulation returns a simulation with one replica per lag.
func newSimulation(choose Chooser, enforce bool, lags ...time.Duration) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(5, 7)), choose: choose, enforce: enforce, lags: append([]time.Duration{0}, lags...)}
	s.db = &view.Database{ID: "seats", Term: 1, Primary: "p", Timeline: model.Timeline{{Term: 1}}}
	for i, lag := range s.lags {
		id := model.InstanceID("p")
		if i > 0 {
			id = model.InstanceID("r" + string(rune('0'+i)))
		}
		s.db.Instances = append(s.db.Instances, instance(id, "dc-1", "east", 0, lag))
	}
	s.db.Instances[0].State.Role = model.RolePrimary
	return s
}

// run simulates the requests of all sessions in order of time.
func (s *simulation) run() {
	next := make([]time.Time, sessions)
	points := make([]model.Point, sessions)
	for i := range next {
		next[i] = start.Add(s.think())
	}
	polled := start
	for {
		i := earliest(next)
		now := next[i]
		if now.Sub(start) > simulatedTime {
			return
		}
		for ; polled.Before(now); polled = polled.Add(pollInterval) {
			s.observeAll(polled)
		}
		points[i] = s.request(points[i], now)
		next[i] = now.Add(s.think())
	}
}

// think returns a random pause between two requests of a session.
func (s *simulation) think() time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(meanThinkTime))
}

// earliest returns the index of the earliest time.
func earliest(times []time.Time) int {
	best := 0
	for i := range times {
		if times[i].Before(times[best]) {
			best = i
		}
	}
	return best
}

// reached returns the log position that an instance holds at a time.
func (s *simulation) reached(index int, now time.Time) model.Position {
	until := now.Add(-s.lags[index])
	return model.Position(sort.Search(len(s.writtenAt), func(i int) bool { return s.writtenAt[i].After(until) }))
}

// observeAll updates the known state of every instance.
func (s *simulation) observeAll(now time.Time) {
	for index := range s.db.Instances {
		s.observe(index, now)
	}
}

// observe updates the known state of an instance.
func (s *simulation) observe(index int, now time.Time) {
	s.db.Instances[index].State.Point = model.Point{Term: 1, Position: s.reached(index, now)}
	s.db.Instances[index].ObservedAt = now
}

// request simulates one request of a session that has seen a point, and returns the point that it has seen afterwards.
func (s *simulation) request(seen model.Point, now time.Time) model.Point {
	if s.random.Float64() < writeShare {
		s.writtenAt = append(s.writtenAt, now)
		point := model.Point{Term: 1, Position: model.Position(len(s.writtenAt))}
		s.writeTimes.Record(point, now)
		return point
	}
	request := Request{Access: model.Read, HasToken: true, MinPoint: seen, DataCentre: "dc-1", Region: "east", Random: s.random.Uint32()}
	if s.random.Float64() < maxAgeShare {
		limit := model.Age(readMaxAge)
		request.HasToken, request.MinPoint, request.MaxAge = false, model.Point{}, &limit
	}
	request.WrittenAt = s.writeTimes.WrittenAt(request.MinPoint)
	served := s.read(request, now)
	if request.HasToken && served > seen.Position {
		seen = model.Point{Term: 1, Position: served}
	}
	return seen
}

// read simulates one read, with retries after refusals, and returns the position at which it was served.
func (s *simulation) read(request Request, now time.Time) model.Position {
	s.reads++
	if s.replicaCanServe(request, now) {
		s.possible++
	}
	started := now
	for {
		choice := s.choose(s.db, request, now)
		ready := s.ready(choice, request, now)
		if s.enforce && ready.Sub(now) > choice.MaxWait {
			s.refused++
			now = now.Add(choice.MaxWait + sameCentreRoundTrip)
			request.Tried = request.Tried.With(choice.Index)
			continue
		}
		if s.enforce {
			now = ready
		}
		now = now.Add(sameCentreRoundTrip + serviceTime)
		s.latency += now.Sub(started)
		return s.serve(choice, request, now)
	}
}

// ready returns when the chosen instance holds the minimum point.
func (s *simulation) ready(choice Choice, request Request, now time.Time) time.Time {
	if request.MinPoint.Position == 0 {
		return now
	}
	reached := s.writtenAt[request.MinPoint.Position-1].Add(s.lags[choice.Index])
	if reached.Before(now) {
		return now
	}
	return reached
}

// serve counts one served read and returns its position.
func (s *simulation) serve(choice Choice, request Request, now time.Time) model.Position {
	if choice.Role == model.RoleReplica {
		s.onReplicas++
	}
	served := s.reached(choice.Index, now)
	if served < request.MinPoint.Position || (request.MaxAge != nil && s.lags[choice.Index] > time.Duration(*request.MaxAge)) {
		s.stale++
	}
	return served
}

// replicaCanServe reports whether some replica meets the read's requirement, or will within the default patience.
func (s *simulation) replicaCanServe(request Request, now time.Time) bool {
	for index := 1; index < len(s.lags); index++ {
		if request.MaxAge != nil && s.lags[index] > time.Duration(*request.MaxAge) {
			continue
		}
		if s.ready(Choice{Index: index}, request, now).Sub(now) <= DefaultPatience {
			return true
		}
	}
	return false
}

// BenchmarkReplicaShareTrial simulates routing alone; it reports the share of reads on replicas, stale reads, refusals and the mean
// latency.
func BenchmarkReplicaShareTrial(b *testing.B) {
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
		"lag-limit": {choose: LagLimit(model.Age(readMaxAge))},
	}
	for lag, replicas := range lags {
		for policy, p := range policies {
			b.Run(lag+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					s := newSimulation(p.choose, p.enforce, replicas...)
					s.run()
					b.ReportMetric(100*float64(s.onReplicas)/float64(s.reads), "%replica")
					b.ReportMetric(100*float64(s.possible)/float64(s.reads), "%possible")
					b.ReportMetric(float64(s.stale), "stale")
					b.ReportMetric(100*float64(s.refused)/float64(s.reads), "%refused")
					b.ReportMetric(float64(s.latency.Microseconds())/float64(s.reads), "us/read")
				}
			})
		}
	}
}
