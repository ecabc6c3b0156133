package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// The sizes of a load.
const (
	loadWarmUp   = 3 * time.Second
	loadTime     = 8 * time.Second
	loadDeadline = 2 * time.Second
	loadSessions = 200
	loadSeed     = 7
)

// loadFloors are the floors of the ranks in the default configuration.
var loadFloors = [model.Ranks]model.Percent{60, 25, 5}

// flow is an open-loop stream of one kind of work.
type flow struct {
	name        string
	rank        model.Rank
	kind        model.KindID
	floor       model.Percent // of the rank
	share       float64       // offered, in shares of capacity
	sessions    int
	maxAttempts int // of a caller whose work is refused or late; zero means one
}

// tally is what became of a flow's work within the measured time.
type tally struct {
	mutex    sync.Mutex
	capacity float64 // statements a second
	offered  int
	good     int // answered before the deadline
	latency  *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram // time until a refusal
}

// goodputShare returns the goodput in shares of capacity.
func (t *tally) goodputShare() float64 {
	return float64(t.good) / loadTime.Seconds() / t.capacity
}

// answeredShare returns the share of the offered work that was answered in time.
func (t *tally) answeredShare() float64 {
	return float64(t.good) / float64(t.offered)
}

// p99 returns the 99th percentile of the latency of what was answered in time.
func (t *tally) p99() time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond
}

// profile is the size of one user's instances.
type profile struct {
	slots       int
	connections int
	openTime    time.Duration
	serviceTime time.Duration // of a statement on average
}

// The two users, each with a capacity of a thousand statements a second.
var (
	smallInstance = profile{slots: 2, connections: 15, openTime: 10 * time.Millisecond, serviceTime: 2 * time.Millisecond}
	largeInstance = profile{slots: 5, connections: 55, openTime: 30 * time.Millisecond, serviceTime: 5 * time.Millisecond}
)

// capacity returns the statements a second that the slots can run.
func (u profile) capacity() float64 {
	return float64(u.slots) / u.serviceTime.Seconds()
}

// load is one run of flows through a dispatcher and a fake instance on the test's clock.
type load struct {
	policy   func() admit.Policy[*Task]
	flows    []flow
	profile  profile                        // none for the Authority
	slowdown func(at time.Duration) float64 // factor on the service time; nil for none
	prepare  func(fake *fakeInstance)       // nil for a sound instance
	warmUp   time.Duration                  // time before the measured one; zero for the usual
}

// run returns the tallies by flow.
func (l load) run(t *testing.T) map[string]*tally {
	t.Helper()
	tallies := make(map[string]*tally)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(loadSeed, loadSeed))
		begin := time.Now()
		fake := newFakeInstance()
		size := cmp.Or(l.profile, smallInstance)
		fake.slots, fake.connections, fake.openTime = size.slots, size.connections, size.openTime
		fake.serviceTime = l.service(size.serviceTime, random, begin)
		if l.prepare != nil {
			l.prepare(fake)
		}
		d := New()
		d.Instance = fake
		d.Slots = model.Slots(size.slots)
		d.Connections = model.Connections(size.connections)
		d.QueueLimit = 512
		d.RankFloors = loadFloors
		d.Policy = l.policy()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go d.Run(ctx, done)
		var group sync.WaitGroup
		for _, f := range l.flows {
			counted := &tally{capacity: size.capacity(), latency: hdrhistogram.New(1, 60_000_000, 3), refused: hdrhistogram.New(1, 60_000_000, 3)}
			tallies[f.name] = counted
			arrivals := rand.New(rand.NewPCG(loadSeed, random.Uint64()))
			group.Go(func() { l.offer(ctx, d, f, counted, arrivals, begin) })
		}
		group.Wait()
		stop()
		<-done
		if got, want := fake.mostOpen, size.connections; got > want {
			t.Errorf("got %d connections open, want at most %d", got, want)
		}
	})
	return tallies
}

// service returns a service time of half to one and a half of the mean.
func (l load) service(mean time.Duration, random *rand.Rand, begin time.Time) func(model.Work) time.Duration {
	var mutex sync.Mutex
	return func(model.Work) time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		took := mean/2 + time.Duration(random.Int64N(int64(mean)))
		if l.slowdown == nil {
			return took
		}
		return time.Duration(float64(took) * l.slowdown(time.Since(begin)))
	}
}

// offer starts the flow's work at random times, whether earlier work has ended or not, and waits for all of it.
//
// It goes on after the measured time, so that a backlog does not count as capacity.
func (l load) offer(ctx context.Context, d *Dispatcher, f flow, result *tally, random *rand.Rand, begin time.Time) {
	from := cmp.Or(l.warmUp, loadWarmUp)
	to := from + loadTime
	gap := float64(time.Second) / (f.share * result.capacity)
	var group sync.WaitGroup
	defer group.Wait()
	next := begin
	for {
		next = next.Add(time.Duration(random.ExpFloat64() * gap))
		time.Sleep(time.Until(next))
		at := next.Sub(begin)
		if at >= to+loadDeadline {
			return
		}
		session := model.SessionID(fmt.Sprint(f.name, random.IntN(max(f.sessions, 1))))
		arrived := next
		group.Go(func() { f.call(ctx, d, session, arrived, result, at >= from && at < to) })
	}
}

// call runs one piece of work, again as often as the flow's callers do, and counts it.
func (f flow) call(ctx context.Context, d *Dispatcher, session model.SessionID, arrived time.Time, result *tally, measured bool) {
	class := admit.Class{Rank: f.rank, Kind: f.kind, Session: session, Floor: f.floor}
	var err error
	for range max(f.maxAttempts, 1) {
		work := model.Work{Statement: model.Statement{Kind: f.kind}, Deadline: time.Now().Add(loadDeadline)}
		if _, _, err = d.Do(ctx, 1, work, class); err == nil {
			break
		}
	}
	if !measured {
		return
	}
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.offered++
	taken := result.refused
	if err == nil {
		result.good++
		taken = result.latency
	}
	_ = taken.RecordValue(time.Since(arrived).Microseconds()) // within the histogram's range
}

// loadPolicies are the policies that are compared.
var loadPolicies = map[string]func() admit.Policy[*Task]{
	"arrival": func() admit.Policy[*Task] { return admit.NewFIFO[*Task]() },
	"strict":  func() admit.Policy[*Task] { return admit.NewStrictPriority[*Task]() },
	"floors":  func() admit.Policy[*Task] { return admit.NewFairShare[*Task]() },
}

// policiesToRun returns all policies when figures are printed, with go test -v, and otherwise the one that is in use.
func policiesToRun() map[string]func() admit.Policy[*Task] {
	if testing.Verbose() {
		return loadPolicies
	}
	return map[string]func() admit.Policy[*Task]{"floors": loadPolicies["floors"]}
}

// mix returns the usual work of all ranks at the given load.
func mix(load float64) []flow {
	return []flow{
		{name: "one", rank: 1, kind: "payment", floor: 15, share: 0.2 * load, sessions: loadSessions},
		{name: "two", rank: 2, kind: "roster", floor: 20, share: 0.5 * load, sessions: loadSessions},
		{name: "three", rank: 3, kind: "report", floor: 30, share: 0.3 * load, sessions: loadSessions},
	}
}

// flooded returns work of all ranks in which the named flow offers five times the capacity.
func flooded(name string) []flow {
	flows := []flow{
		{name: "one", rank: 1, kind: "payment", floor: 15, share: 0.2, sessions: loadSessions},
		{name: "one-other", rank: 1, kind: "return", floor: 15, share: 0.1, sessions: loadSessions},
		{name: "two", rank: 2, kind: "roster", floor: 20, share: 0.3, sessions: loadSessions},
		{name: "three", rank: 3, kind: "report", floor: 30, share: 0.1, sessions: loadSessions},
	}
	for i := range flows {
		if flows[i].name == name {
			flows[i].share = 5
		}
	}
	return flows
}

// logTallies shows the tallies of one run with go test -v.
func logTallies(t *testing.T, scenario, policy string, flows []flow, tallies map[string]*tally) {
	t.Helper()
	total := 0.0
	line := ""
	for _, f := range flows {
		got := tallies[f.name]
		total += got.goodputShare()
		line += fmt.Sprintf(" | %s %.3f of %.3f, p99 %.1f ms, refused after %.0f ms", f.name, got.goodputShare(), float64(got.offered)/loadTime.Seconds()/got.capacity, float64(got.p99().Microseconds())/1000, float64(got.refused.ValueAtQuantile(50))/1000)
	}
	t.Logf("%-12s %-8s total %.3f%s", scenario, policy, total, line)
}

// totalGoodput returns the goodput of all flows in shares of capacity.
func totalGoodput(tallies map[string]*tally) float64 {
	total := 0.0
	for _, got := range tallies {
		total += got.goodputShare()
	}
	return total
}

func TestLoad(t *testing.T) {
	alone := load{policy: loadPolicies["floors"], flows: mix(1)[:1]}.run(t)["one"]
	t.Logf("rank one alone: p99 %v", alone.p99())
	for name, factor := range map[string]float64{"0.5": 0.5, "1": 1, "2": 2, "5": 5} {
		t.Run(name, func(t *testing.T) {
			for policy, make := range policiesToRun() {
				flows := mix(factor)
				tallies := load{policy: make, flows: flows}.run(t)
				logTallies(t, name, policy, flows, tallies)
				if policy != "floors" {
					continue
				}
				if got, want := totalGoodput(tallies), 0.95*min(factor, 0.99); got < want {
					t.Errorf("got goodput %.3f, want at least %.3f", got, want)
				}
				if got, want := tallies["one"].answeredShare(), 0.99; factor < 3 && got < want {
					t.Errorf("got %.3f of rank one, want at least %.3f", got, want)
				}
			}
		})
	}
}

func TestFlood(t *testing.T) {
	tests := map[string]struct {
		user  profile
		flows []flow
		want  map[string]float64 // least goodput, in shares of capacity
		quick bool               // rank one keeps its latency
	}{
		"three": {
			flows: flooded("three"),
			want:  map[string]float64{"one": 0.2 * 0.99, "one-other": 0.1 * 0.99, "two": 0.25 * 0.95},
			quick: true,
		},
		"two": {
			flows: flooded("two"),
			want:  map[string]float64{"one": 0.2 * 0.99, "one-other": 0.1 * 0.99, "three": 0.05 * 0.95},
			quick: true,
		},
		"one": {
			flows: flooded("one"),
			want:  map[string]float64{"one-other": 0.1 * 0.95, "two": 0.25 * 0.95, "three": 0.05 * 0.95},
		},
		"three at the Library": {
			user:  largeInstance,
			flows: flooded("three"),
			want:  map[string]float64{"one": 0.2 * 0.99, "one-other": 0.1 * 0.99, "two": 0.25 * 0.95},
			quick: true,
		},
		"two at the Library": {
			user:  largeInstance,
			flows: flooded("two"),
			want:  map[string]float64{"one": 0.2 * 0.99, "one-other": 0.1 * 0.99, "three": 0.05 * 0.95},
			quick: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			alone := load{policy: loadPolicies["floors"], flows: flooded("")[:2], profile: test.user}.run(t)["one"]
			t.Logf("rank one alone: p99 %v", alone.p99())
			for policy, make := range policiesToRun() {
				tallies := load{policy: make, flows: test.flows, profile: test.user}.run(t)
				logTallies(t, "flood "+name, policy, test.flows, tallies)
				if policy != "floors" {
					continue
				}
				for flow, want := range test.want {
					if got := tallies[flow].goodputShare(); got < want*0.97 { // a Poisson stream offers a few percent less or more
						t.Errorf("got %.3f of capacity for %s, want at least %.3f", got, flow, want)
					}
				}
				if got, want := totalGoodput(tallies), 0.95; got < want {
					t.Errorf("got goodput %.3f, want at least %.3f", got, want)
				}
				if got, want := tallies["one"].p99(), 2*alone.p99(); test.quick && got > want {
					t.Errorf("got p99 %v of rank one, want at most %v", got, want)
				}
			}
		})
	}
}
