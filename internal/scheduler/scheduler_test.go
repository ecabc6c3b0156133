package scheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// connectTime is what a connection costs on the test's clock.
const connectTime = 12 * time.Millisecond

// testScheduler is a lane to a fake instance.
type testScheduler struct {
	*Scheduler[int]
	mutex  sync.Mutex
	opened int
	closed int
}

// newTestScheduler returns a lane with the given changes that runs until the test's bubble ends.
func newTestScheduler(t *testing.T, slots model.Slots, connections model.Connections, changes ...func(*Scheduler[int])) *testScheduler {
	t.Helper()
	b := &testScheduler{Scheduler: New[int]()}
	b.Slots, b.Connections = slots, connections
	b.Floors = [model.Ranks]model.Percent{0, 10, 10}
	for _, change := range changes {
		change(b.Scheduler)
	}
	b.Pool.Open = func(ctx context.Context) (int, error) {
		time.Sleep(connectTime)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.opened++
		return b.opened, nil
	}
	b.Pool.Close = func(context.Context, int) error {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.closed++
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

// openedCount returns the number of connections that were ever opened.
func (b *testScheduler) openedCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.opened
}

// openCount returns the number of open connections.
func (b *testScheduler) openCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.opened - b.closed
}

// job is one piece of work.
type job struct {
	arrival     time.Duration // of its arrival
	rank        model.Rank
	kind        model.KindID
	serviceTime time.Duration
	pause       time.Duration // a transaction that rests so long before its second statement; zero for a lone statement
	timeout     time.Duration // from its arrival to its deadline
}

// outcome is what became of a job.
type outcome struct {
	waited time.Duration // until its turn or its refusal
	code   model.Code    // empty when it was served
}

// runJobs plays jobs and returns what became of them.
func (b *testScheduler) runJobs(jobs []job) []outcome {
	outcomes := make([]outcome, len(jobs))
	var group sync.WaitGroup
	for i, j := range jobs {
		group.Go(func() {
			time.Sleep(j.arrival)
			outcomes[i] = b.runJob(j)
		})
	}
	group.Wait()
	return outcomes
}

// runJob carries out one job.
func (b *testScheduler) runJob(j job) outcome {
	arrived := time.Now()
	turn, err := b.Acquire(context.Background(), Request{
		Class:          admit.Class{Rank: j.rank, Kind: j.kind},
		Deadline:       arrived.Add(j.timeout),
		KeepConnection: j.pause > 0,
	})
	waited := time.Since(arrived)
	if err != nil {
		return outcome{waited: waited, code: model.CodeOf(err)}
	}
	time.Sleep(j.serviceTime)
	if j.pause == 0 {
		b.FinishStatement(turn, true, true)
		return outcome{waited: waited}
	}
	b.Suspend(turn, true)
	time.Sleep(j.pause)
	b.Resume(turn)
	time.Sleep(j.serviceTime)
	b.FinishTransaction(turn, true)
	return outcome{waited: waited}
}

// repeat returns count jobs like the given one, with a distance between their arrivals.
func repeat(count int, distance time.Duration, j job) []job {
	jobs := make([]job, count)
	for i := range jobs {
		jobs[i] = j
		jobs[i].arrival = j.arrival + time.Duration(i)*distance
	}
	return jobs
}

// TestLoadPatterns replays the loads that the lane's decisions answer; the bounds are those that the callers need.
func TestLoadPatterns(t *testing.T) {
	const ms = time.Millisecond
	urgent := job{rank: model.RankOne, kind: "desk", serviceTime: 3 * ms, timeout: 400 * ms}
	bulk := job{rank: model.RankThree, kind: "batch", serviceTime: 9 * ms, timeout: 300 * ms}
	view := job{rank: model.RankTwo, kind: "view", serviceTime: 15 * ms, timeout: 500 * ms}
	later := func(j job, at time.Duration) job { j.arrival = at; return j }
	resting := func(j job) job { j.pause, j.timeout = 500*ms, 900*ms; return j }
	tests := map[string]struct {
		slots       model.Slots
		connections model.Connections
		jobs        map[string][]job
		served      map[string]float64       // least share of each group that is served
		waited      map[string]time.Duration // longest wait of a served job of the group
		opened      int                      // connections at most, each of which takes a slot for a while; zero for any
	}{
		"lone statements beside transactions that rest": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"resting": repeat(12, 0, resting(bulk)), "urgent": repeat(40, 20*ms, later(urgent, 50*ms))},
			served: map[string]float64{"urgent": 1},
			waited: map[string]time.Duration{"urgent": 50 * ms},
		},
		"urgent transactions before bulk ones that rest": {
			slots: 2, connections: 8,
			jobs:   map[string][]job{"bulk": repeat(30, 0, resting(bulk)), "urgent": repeat(2, 0, resting(later(urgent, 100*ms)))},
			served: map[string]float64{"urgent": 1},
			waited: map[string]time.Duration{"urgent": 60 * ms},
		},
		"a flood of bulk work": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"bulk": repeat(1000, 1*ms, later(bulk, 0)), "urgent": repeat(100, 10*ms, later(urgent, 100*ms))},
			served: map[string]float64{"urgent": 1, "bulk": 0.15},
			waited: map[string]time.Duration{"urgent": 40 * ms},
		},
		// Two slots take 667 of 3,000 urgent statements in the second, less the views' time; 95 % of that are served.
		"a flood of the most urgent work leaves the others their floor": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"urgent": repeat(3000, ms/3, urgent), "view": repeat(10, 100*ms, later(view, 100*ms))},
			served: map[string]float64{"view": 0.9, "urgent": 0.195},
		},
		"the start with no connection open": {
			slots: 4, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent)},
			served: map[string]float64{"urgent": 1},
		},
		// Connections that no slot could use would cost the instance time when it has least of it.
		"all callers at once after a loss of power": {
			slots: 1, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent)},
			served: map[string]float64{"urgent": 1},
			opened: 1,
		},
		"all callers at once, some with transactions that rest": {
			slots: 1, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent), "resting": repeat(3, 0, resting(urgent))},
			served: map[string]float64{"urgent": 1, "resting": 1},
			opened: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestScheduler(t, test.slots, test.connections)
				var group sync.WaitGroup
				var mutex sync.Mutex
				results := make(map[string][]outcome)
				for kind, jobs := range test.jobs {
					group.Go(func() {
						outcomes := b.runJobs(jobs)
						mutex.Lock()
						defer mutex.Unlock()
						results[kind] = outcomes
					})
				}
				group.Wait()
				if got := b.openedCount(); test.opened > 0 && got > test.opened {
					t.Errorf("got %d connections opened, want at most %d", got, test.opened)
				}
				for kind, want := range test.served {
					served, longest := summary(results[kind])
					if got := float64(served) / float64(len(results[kind])); got < want {
						t.Errorf("got %.3f of %s served, want at least %.3f", got, kind, want)
					}
					if limit, bounded := test.waited[kind]; bounded && longest > limit {
						t.Errorf("got a wait of %v of %s, want at most %v", longest, kind, limit)
					}
				}
			})
		})
	}
}

// summary returns how many were served and the longest wait among them.
func summary(outcomes []outcome) (served int, longest time.Duration) {
	for _, o := range outcomes {
		if o.code == "" {
			served++
			longest = max(longest, o.waited)
		}
	}
	return served, longest
}

func TestWorkThatWouldMissItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestScheduler(t, 1, 1)
		slow := job{rank: model.RankOne, kind: "slow", serviceTime: 100 * time.Millisecond, timeout: time.Second}
		b.runJobs(repeat(3, 0, slow))
		got := b.runJob(job{rank: model.RankOne, kind: "slow", serviceTime: 100 * time.Millisecond, timeout: 50 * time.Millisecond})
		if got.code != model.CodeDeadline || got.waited != 0 {
			t.Errorf("got %+v, want a refusal at once, since the work takes longer than it has", got)
		}
	})
}

func TestRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestScheduler(t, 1, 1, func(l *Scheduler[int]) { l.QueueLimit = 1 })
		jobs := repeat(3, 0, job{rank: model.RankOne, kind: "k", serviceTime: 100 * time.Millisecond, timeout: time.Second})
		b.runJobs(jobs)
		_, err := b.Acquire(context.Background(), Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Millisecond)})
		var refusal *model.Refusal
		if !errors.As(err, &refusal) || !refusal.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal as not run with a time to come back", err)
		}
	})
}

// loadInterval is how often a host looks at its lanes.
const loadInterval = 50 * time.Millisecond

// idleFor lets a time without work pass, in which the lane's owner looks at the load.
func (b *testScheduler) idleFor(idle time.Duration) {
	b.pollLoad(idle)
	synctest.Wait()
}

// pollLoad lets a time pass in which the lane's owner looks at the load.
func (b *testScheduler) pollLoad(passes time.Duration) {
	for range passes / loadInterval {
		b.Load()
		time.Sleep(loadInterval)
	}
}

func TestIdleConnections(t *testing.T) {
	const waves = 5
	load := repeat(60, 5*time.Millisecond, job{rank: model.RankTwo, kind: "k", serviceTime: 40 * time.Millisecond, timeout: time.Second})
	tests := map[string]struct {
		pause time.Duration
		kept  bool
	}{
		"work that comes in waves keeps its connections":        {pause: defaultDemandWindow - time.Second, kept: true},
		"connections beyond the demand are closed in the pause": {pause: 2 * defaultDemandWindow},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestScheduler(t, 6, 6)
				first := 0
				for wave := range waves {
					b.runJobs(load)
					if got := b.openCount(); got < 3 {
						t.Errorf("got %d connections under load, want several", got)
					}
					if wave == 0 {
						first = b.openedCount()
					}
					b.idleFor(test.pause)
					if got, want := b.openCount(), int(b.MinConnections); !test.kept && got != want {
						t.Errorf("got %d connections after the load, want %d", got, want)
					}
				}
				if got := b.openedCount() - first; test.kept != (got == 0) {
					t.Errorf("got %d connections opened after the first wave, want none: %v", got, test.kept)
				}
			})
		})
	}
}

// TestScarceConnectionsAreShared has more hosts use an instance than it has connections: each has its turn, since none keeps a
// connection without work.
func TestScarceConnectionsAreShared(t *testing.T) {
	const hosts, connections = 12, 3
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		open := 0
		var lanes []*testScheduler
		for range hosts {
			b := newTestScheduler(t, 1, 1, func(l *Scheduler[int]) { l.SetLimits(1, 1, true) })
			b.Pool.Open = func(context.Context) (int, error) {
				time.Sleep(connectTime)
				mutex.Lock()
				defer mutex.Unlock()
				if open == connections {
					return 0, model.Refuse(model.CodeConnectionsFull, "the instance is full")
				}
				open++
				return open, nil
			}
			b.Pool.Close = func(context.Context, int) error {
				mutex.Lock()
				defer mutex.Unlock()
				open--
				return nil
			}
			lanes = append(lanes, b)
		}
		var group sync.WaitGroup
		for i, b := range lanes {
			group.Go(func() {
				outcomes := b.runJobs(repeat(5, 2*time.Second, job{arrival: time.Duration(i) * 150 * time.Millisecond, rank: model.RankOne, kind: "k", serviceTime: 5 * time.Millisecond, timeout: time.Second}))
				if served, _ := summary(outcomes); served != len(outcomes) {
					t.Errorf("got %d of %d jobs of host %d served, want all", served, len(outcomes), i)
				}
			})
			group.Go(func() { b.pollLoad(12 * time.Second) })
		}
		group.Wait()
	})
}

func TestDistantInstanceHasHigherInFlightLimit(t *testing.T) {
	tests := map[string]struct {
		trip time.Duration
		want model.Slots // statements on their way at least
	}{
		"near": {trip: 0, want: 2},
		"far":  {trip: 25 * time.Millisecond, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestScheduler(t, 2, 12, func(l *Scheduler[int]) { l.RoundTrip = test.trip })
				b.runJobs(repeat(100, 2*time.Millisecond, job{rank: model.RankTwo, kind: "k", serviceTime: 5*time.Millisecond + test.trip, timeout: time.Second}))
				b.Scheduler.mutex.Lock()
				defer b.Scheduler.mutex.Unlock()
				if got := b.inFlightLimit(); got < test.want {
					t.Errorf("got a limit of %d, want at least %d", got, test.want)
				}
			})
		})
	}
}

func TestBrokenConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestScheduler(t, 1, 1)
		want := Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Second)}
		first, err := b.Acquire(context.Background(), want)
		if err != nil {
			t.Fatal(err)
		}
		used := first.Conn
		b.FinishStatement(first, false, false)
		second, err := b.Acquire(context.Background(), want)
		if err != nil || second.Conn == used {
			t.Errorf("got connection %v again or %v, want a new one", used, err)
		}
		b.FinishStatement(second, true, true)
	})
}

func BenchmarkAcquire(b *testing.B) {
	lane := New[int]()
	lane.Pool.Open = func(context.Context) (int, error) { return 1, nil }
	lane.Pool.Close = func(context.Context, int) error { return nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go lane.Run(ctx, done)
	want := Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		turn, err := lane.Acquire(ctx, want)
		if err != nil {
			b.Fatal(err)
		}
		lane.FinishStatement(turn, true, true)
	}
	cancel()
	<-done
}
