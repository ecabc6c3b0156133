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

// connectTime is the time that opening a connection takes.
const connectTime = 12 * time.Millisecond

// testScheduler is a scheduler for a fake instance.
type testScheduler struct {
	*Scheduler[int]
	mutex  sync.Mutex
	opened int
	closed int
}

// newTestScheduler returns a running scheduler, with the given changes to its settings, that stops at the end of the test.
func newTestScheduler(t *testing.T, slots model.Slots, connections model.Connections, changes ...func(*Scheduler[int])) *testScheduler {
	t.Helper()
	s := &testScheduler{Scheduler: New[int]()}
	s.Slots, s.Connections = slots, connections
	s.Floors = [model.RankCount]model.Percent{0, 10, 10}
	for _, change := range changes {
		change(s.Scheduler)
	}
	s.Pool.Open = func(ctx context.Context, _ model.TenantID) (int, error) {
		time.Sleep(connectTime)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.opened++
		return s.opened, nil
	}
	s.Pool.Close = func(context.Context, int) error {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.closed++
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// openedCount returns the number of connections opened so far.
func (s *testScheduler) openedCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.opened
}

// openCount returns the number of connections open now.
func (s *testScheduler) openCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.opened - s.closed
}

// job is one piece of work: a statement, or a transaction of two statements with a pause between them.
type job struct {
	arrival     time.Duration // time from the start of the test
	rank        model.Rank
	kind        model.KindID
	serviceTime time.Duration // of each statement
	pause       time.Duration // time between the two statements of a transaction; zero for a single statement
	timeout     time.Duration // time from arrival to deadline
}

// outcome is the result of a job.
type outcome struct {
	waited time.Duration // time until the job started or was refused
	code   model.Code    // reason of the refusal; empty if the job was served
}

// runJobs runs the jobs and returns their outcomes.
func (s *testScheduler) runJobs(jobs []job) []outcome {
	outcomes := make([]outcome, len(jobs))
	var group sync.WaitGroup
	for i, j := range jobs {
		group.Go(func() {
			time.Sleep(j.arrival)
			outcomes[i] = s.runJob(j)
		})
	}
	group.Wait()
	return outcomes
}

// runJob runs one job.
func (s *testScheduler) runJob(j job) outcome {
	arrived := time.Now()
	permit, err := s.Acquire(context.Background(), Request{
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
		s.FinishStatement(permit, true, true)
		return outcome{waited: waited}
	}
	s.Suspend(permit, true)
	time.Sleep(j.pause)
	s.Resume(permit)
	time.Sleep(j.serviceTime)
	s.FinishTransaction(permit, true)
	return outcome{waited: waited}
}

// repeat returns count jobs like the given one, which arrive at the given interval.
func repeat(count int, interval time.Duration, j job) []job {
	jobs := make([]job, count)
	for i := range jobs {
		jobs[i] = j
		jobs[i].arrival = j.arrival + time.Duration(i)*interval
	}
	return jobs
}

// TestLoadPatterns runs the loads for which the limits and priorities are designed; callers depend on the bounds.
func TestLoadPatterns(t *testing.T) {
	const ms = time.Millisecond
	urgent := job{rank: model.RankOne, kind: "desk", serviceTime: 3 * ms, timeout: 400 * ms}
	bulk := job{rank: model.RankThree, kind: "batch", serviceTime: 9 * ms, timeout: 300 * ms}
	view := job{rank: model.RankTwo, kind: "view", serviceTime: 15 * ms, timeout: 500 * ms}
	startingAt := func(j job, at time.Duration) job { j.arrival = at; return j }
	withPause := func(j job) job { j.pause, j.timeout = 500*ms, 900*ms; return j }
	tests := map[string]struct {
		slots       model.Slots
		connections model.Connections
		jobs        map[string][]job
		served      map[string]float64       // minimum share of each group that is served
		waited      map[string]time.Duration // maximum wait of a served job of the group
		opened      int                      // maximum number of connections opened, since opening one occupies a slot for a while; zero for no limit
	}{
		"single statements beside transactions with pauses": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"paused": repeat(12, 0, withPause(bulk)), "urgent": repeat(40, 20*ms, startingAt(urgent, 50*ms))},
			served: map[string]float64{"urgent": 1},
			waited: map[string]time.Duration{"urgent": 50 * ms},
		},
		"urgent transactions before bulk transactions with pauses": {
			slots: 2, connections: 8,
			jobs:   map[string][]job{"bulk": repeat(30, 0, withPause(bulk)), "urgent": repeat(2, 0, withPause(startingAt(urgent, 100*ms)))},
			served: map[string]float64{"urgent": 1},
			waited: map[string]time.Duration{"urgent": 60 * ms},
		},
		"overload of bulk work": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"bulk": repeat(1000, 1*ms, startingAt(bulk, 0)), "urgent": repeat(100, 10*ms, startingAt(urgent, 100*ms))},
			served: map[string]float64{"urgent": 1, "bulk": 0.15},
			waited: map[string]time.Duration{"urgent": 40 * ms},
		},
		// Two slots can run 667 of the 3,000 urgent statements in the second, less the time of the views; 95 % of that must
		// be served.
		"overload of the most urgent work leaves the others their floor": {
			slots: 2, connections: 4,
			jobs:   map[string][]job{"urgent": repeat(3000, ms/3, urgent), "view": repeat(10, 100*ms, startingAt(view, 100*ms))},
			served: map[string]float64{"view": 0.9, "urgent": 0.195},
		},
		"start without open connections": {
			slots: 4, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent)},
			served: map[string]float64{"urgent": 1},
		},
		// Opening a connection takes time of an instance that is overloaded already, so none is opened that no slot can use.
		"all callers at once after a power failure": {
			slots: 1, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent)},
			served: map[string]float64{"urgent": 1},
			opened: 1,
		},
		"all callers at once, some with transactions with pauses": {
			slots: 1, connections: 8,
			jobs:   map[string][]job{"urgent": repeat(20, 0, urgent), "paused": repeat(3, 0, withPause(urgent))},
			served: map[string]float64{"urgent": 1, "paused": 1},
			opened: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, test.slots, test.connections)
				var group sync.WaitGroup
				var mutex sync.Mutex
				results := make(map[string][]outcome)
				for kind, jobs := range test.jobs {
					group.Go(func() {
						outcomes := s.runJobs(jobs)
						mutex.Lock()
						defer mutex.Unlock()
						results[kind] = outcomes
					})
				}
				group.Wait()
				if got := s.openedCount(); test.opened > 0 && got > test.opened {
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

// summary returns the number of jobs served and the longest wait among them.
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
		s := newTestScheduler(t, 1, 1)
		slow := job{rank: model.RankOne, kind: "slow", serviceTime: 100 * time.Millisecond, timeout: time.Second}
		s.runJobs(repeat(3, 0, slow))
		got := s.runJob(job{rank: model.RankOne, kind: "slow", serviceTime: 100 * time.Millisecond, timeout: 50 * time.Millisecond})
		if got.code != model.CodeDeadline || got.waited != 0 {
			t.Errorf("got %+v, want an immediate refusal, since the work takes longer than its timeout", got)
		}
	})
}

// TestBurstAtAFullInstance replays work that arrives in a burst at an instance which takes no further connection for a while, as that
// of many hosts that take turns: what can't get a connection in time is told so at once, the rest waits for one.
func TestBurstAtAFullInstance(t *testing.T) {
	const backoff = 200 * time.Millisecond
	tests := map[string]struct {
		arrival, timeout time.Duration
		code             model.Code
		atMost           time.Duration // longest wait of a refusal
	}{
		"arrives before the refusal, short of time": {timeout: 100 * time.Millisecond, code: model.CodeDeadline, atMost: connectTime},
		"arrives after it, short of time":           {arrival: 50 * time.Millisecond, timeout: 100 * time.Millisecond, code: model.CodeDeadline},
		"arrives after it, with time to wait":       {arrival: 50 * time.Millisecond, timeout: 375 * time.Millisecond},
		"arrives before it, with time to wait":      {timeout: 375 * time.Millisecond},
		"arrives when a connection is soon opened":  {arrival: 180 * time.Millisecond, timeout: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, 1, 1, func(s *Scheduler[int]) {
					s.SetLimits(1, 1, true)
					s.Pool.MinBackoff = func(error) time.Duration { return backoff }
					s.Pool.Jitter = func() float64 { return 1 }
				})
				full := true
				s.Pool.Open = func(context.Context, model.TenantID) (int, error) {
					time.Sleep(connectTime)
					if full {
						full = false
						return 0, model.Refuse(model.CodeConnectionsFull, "the instance is full")
					}
					return 1, nil
				}
				work := job{rank: model.RankOne, kind: "k", serviceTime: 5 * time.Millisecond, timeout: 500 * time.Millisecond}
				tested := work
				tested.arrival, tested.timeout = test.arrival, test.timeout
				got := s.runJobs([]job{work, tested})[1]
				if got.code != test.code {
					t.Errorf("got %+v, want code %q", got, test.code)
				}
				if test.code != "" && got.waited > test.atMost {
					t.Errorf("got a refusal after %v, want one within %v", got.waited, test.atMost)
				}
			})
		})
	}
}

// TestRefusalTellsWhatWasMissing refuses work for lack of a connection that is being opened, and of one that a transaction holds.
func TestRefusalTellsWhatWasMissing(t *testing.T) {
	tests := map[string]struct {
		held bool // a transaction holds the connection
		want string
	}{
		"being opened":          {want: "0 waiting, 0 of 1 running, 0 of 1 connections open, 1 being opened, 0 held by transactions"},
		"held by a transaction": {held: true, want: "0 waiting, 0 of 1 running, 1 of 1 connections open, 0 being opened, 1 held by transactions"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, 1, 1)
				class := admit.Class{Rank: model.RankOne, Kind: "k"}
				timeout := connectTime / 2
				if test.held {
					permit, err := s.Acquire(t.Context(), Request{Class: class, Deadline: time.Now().Add(time.Second), KeepConnection: true})
					if err != nil {
						t.Fatal(err)
					}
					s.Suspend(permit, true)
					defer s.FinishTransaction(permit, true)
					timeout = time.Second
				}
				_, err := s.Acquire(t.Context(), Request{Class: class, Deadline: time.Now().Add(timeout)})
				if got := asRefusal(t, err).Message; got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

// asRefusal returns the refusal in an error.
func asRefusal(t *testing.T, err error) *model.Refusal {
	t.Helper()
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refusal
}

func TestRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, 1, 1, func(s *Scheduler[int]) { s.QueueLimit = 1 })
		jobs := repeat(3, 0, job{rank: model.RankOne, kind: "k", serviceTime: 100 * time.Millisecond, timeout: time.Second})
		s.runJobs(jobs)
		_, err := s.Acquire(context.Background(), Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Millisecond)})
		var refusal *model.Refusal
		if !errors.As(err, &refusal) || !refusal.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal as not run with a time after which to retry", err)
		}
	})
}

// loadInterval is the interval at which a host calls Load on its schedulers.
const loadInterval = 50 * time.Millisecond

// idleFor lets time without work pass while Load is called, and waits for connections to be closed.
func (s *testScheduler) idleFor(idle time.Duration) {
	s.pollLoad(idle)
	synctest.Wait()
}

// pollLoad calls Load at regular intervals for the given time.
func (s *testScheduler) pollLoad(duration time.Duration) {
	for range duration / loadInterval {
		s.Load()
		time.Sleep(loadInterval)
	}
}

func TestIdleConnections(t *testing.T) {
	const bursts = 5
	load := repeat(60, 5*time.Millisecond, job{rank: model.RankTwo, kind: "k", serviceTime: 40 * time.Millisecond, timeout: time.Second})
	tests := map[string]struct {
		pause time.Duration // between bursts of work
		kept  bool          // whether connections stay open in the pause
	}{
		"connections stay open during a short pause":                   {pause: defaultDemandWindow - time.Second, kept: true},
		"connections beyond the demand are closed during a long pause": {pause: 2 * defaultDemandWindow},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, 6, 6)
				openedInFirst := 0
				for burst := range bursts {
					s.runJobs(load)
					if got := s.openCount(); got < 3 {
						t.Errorf("got %d connections under load, want several", got)
					}
					if burst == 0 {
						openedInFirst = s.openedCount()
					}
					s.idleFor(test.pause)
					if got, want := s.openCount(), int(s.MinConnections); !test.kept && got != want {
						t.Errorf("got %d connections after the load, want %d", got, want)
					}
				}
				if got := s.openedCount() - openedInFirst; test.kept != (got == 0) {
					t.Errorf("got %d connections opened after the first burst, want none: %v", got, test.kept)
				}
			})
		})
	}
}

// TestProbing guards against a connection that is opened and closed for each of the probes that a host sends all the time where connections
// are scarce or belong to tenants.
func TestProbing(t *testing.T) {
	tests := map[string]struct {
		change func(s *Scheduler[int])
		want   model.Connections
	}{
		"scarce":           {change: func(s *Scheduler[int]) { s.SetLimits(1, 1, true); s.SetProbing(true) }, want: 1},
		"of tenants":       {change: func(s *Scheduler[int]) { s.SetPerTenant(true); s.SetProbing(true) }, want: 1},
		"scarce, no probe": {change: func(s *Scheduler[int]) { s.SetLimits(1, 1, true) }},
		"probes ended":     {change: func(s *Scheduler[int]) { s.SetLimits(1, 1, true); s.SetProbing(true); s.SetProbing(false) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, 1, 1, test.change)
				s.pollLoad(10 * time.Second)
				if got := s.Pool.Counts().Open; got != test.want {
					t.Errorf("got %d connections open, want %d", got, test.want)
				}
			})
		})
	}
}

// TestScarceConnectionsAreShared runs more hosts than the instance has connections. All work is served, since no host keeps
// a connection without work.
func TestScarceConnectionsAreShared(t *testing.T) {
	const hosts, connections = 12, 3
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		open := 0
		var schedulers []*testScheduler
		for range hosts {
			s := newTestScheduler(t, 1, 1, func(s *Scheduler[int]) { s.SetLimits(1, 1, true) })
			s.Pool.Open = func(context.Context, model.TenantID) (int, error) {
				time.Sleep(connectTime)
				mutex.Lock()
				defer mutex.Unlock()
				if open == connections {
					return 0, model.Refuse(model.CodeConnectionsFull, "the instance is full")
				}
				open++
				return open, nil
			}
			s.Pool.Close = func(context.Context, int) error {
				mutex.Lock()
				defer mutex.Unlock()
				open--
				return nil
			}
			schedulers = append(schedulers, s)
		}
		var group sync.WaitGroup
		for i, s := range schedulers {
			group.Go(func() {
				outcomes := s.runJobs(repeat(5, 2*time.Second, job{arrival: time.Duration(i) * 150 * time.Millisecond, rank: model.RankOne, kind: "k", serviceTime: 5 * time.Millisecond, timeout: time.Second}))
				if served, _ := summary(outcomes); served != len(outcomes) {
					t.Errorf("got %d of %d jobs of host %d served, want all", served, len(outcomes), i)
				}
			})
			group.Go(func() { s.pollLoad(12 * time.Second) })
		}
		group.Wait()
	})
}

func TestDistantInstanceHasHigherInFlightLimit(t *testing.T) {
	tests := map[string]struct {
		roundTrip time.Duration
		want      model.Slots // minimum in-flight limit
	}{
		"near":    {roundTrip: 0, want: 2},
		"distant": {roundTrip: 25 * time.Millisecond, want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestScheduler(t, 2, 12, func(s *Scheduler[int]) { s.RoundTrip = test.roundTrip })
				s.runJobs(repeat(100, 2*time.Millisecond, job{rank: model.RankTwo, kind: "k", serviceTime: 5*time.Millisecond + test.roundTrip, timeout: time.Second}))
				s.Scheduler.mutex.Lock()
				defer s.Scheduler.mutex.Unlock()
				if got := s.inFlightLimit(); got < test.want {
					t.Errorf("got a limit of %d, want at least %d", got, test.want)
				}
			})
		})
	}
}

func TestBrokenConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, 1, 1)
		request := Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Second)}
		first, err := s.Acquire(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		brokenConn := first.Conn
		s.FinishStatement(first, false, false)
		second, err := s.Acquire(context.Background(), request)
		if err != nil || second.Conn == brokenConn {
			t.Errorf("got connection %v again or %v, want a new one", brokenConn, err)
		}
		s.FinishStatement(second, true, true)
	})
}

func BenchmarkAcquire(b *testing.B) {
	s := New[int]()
	s.Pool.Open = func(context.Context, model.TenantID) (int, error) { return 1, nil }
	s.Pool.Close = func(context.Context, int) error { return nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, done)
	request := Request{Class: admit.Class{Rank: model.RankOne, Kind: "k"}, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		permit, err := s.Acquire(ctx, request)
		if err != nil {
			b.Fatal(err)
		}
		s.FinishStatement(permit, true, true)
	}
	cancel()
	<-done
}
