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

// tenantConn is a connection that belongs to a tenant.
type tenantConn struct{ tenant model.TenantID }

// tenantInstance is a fake instance whose connections belong to tenants.
type tenantInstance struct {
	mutex       sync.Mutex
	connectTime time.Duration
	failure     error // of the next connections; nil for none
	places      int   // number of connections that it takes
	open        int
	opened      int
}

// connect opens a connection of the tenant.
func (i *tenantInstance) connect(ctx context.Context, tenant model.TenantID) (*tenantConn, error) {
	select {
	case <-time.After(i.connectTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.failure != nil {
		return nil, i.failure
	}
	if i.open >= i.places {
		return nil, model.Refuse(model.CodeConnectionsFull, "full")
	}
	i.open++
	i.opened++
	return &tenantConn{tenant}, nil
}

// setPlaces changes the number of connections that the instance takes.
func (i *tenantInstance) setPlaces(places int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.places = places
}

// restore makes the instance take connections again.
func (i *tenantInstance) restore() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.places, i.failure = 9, nil
}

// tenantJob is one piece of work of a tenant, and the code of its refusal; empty if it is served.
type tenantJob struct {
	job
	tenant    model.TenantID
	cancelled time.Duration // time from its arrival until its context is cancelled; zero for never
	breaks    bool          // its connection can't be used again
	onlyHere  bool          // no other instance would do
	refused   model.Code
	within    time.Duration // greatest wait; zero for any
}

// run runs the work and checks its outcome and that its connection belongs to its tenant.
func (j tenantJob) run(t *testing.T, s *Scheduler[*tenantConn]) {
	time.Sleep(j.arrival)
	arrived := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if j.cancelled > 0 {
		time.AfterFunc(j.cancelled, cancel)
	}
	permit, err := s.Acquire(ctx, Request{
		Class: admit.Class{Rank: model.RankOne, Kind: "desk"}, Tenant: j.tenant, Deadline: arrived.Add(j.timeout), KeepConnection: j.pause > 0, OnlyHere: j.onlyHere,
	})
	if got := model.CodeOf(err); got != j.refused {
		t.Errorf("tenant %s at %v: got %v, want code %q", j.tenant, j.arrival, err, j.refused)
	}
	if got := time.Since(arrived); j.within > 0 && got > j.within {
		t.Errorf("tenant %s at %v: got a wait of %v, want at most %v", j.tenant, j.arrival, got, j.within)
	}
	if err != nil {
		return
	}
	if got := permit.Conn.tenant; got != j.tenant {
		t.Errorf("got a connection of tenant %q, want one of %q", got, j.tenant)
	}
	time.Sleep(j.serviceTime)
	if j.pause == 0 {
		s.FinishStatement(permit, !j.breaks, true)
		return
	}
	s.Suspend(permit, true)
	time.Sleep(j.pause)
	s.Resume(permit)
	time.Sleep(j.serviceTime)
	s.FinishTransaction(permit, !j.breaks)
}

// TestTenants guards against work that runs on the connection of another tenant, slots and connections that are lost on one of the
// ways in which opening a connection ends, and work that waits although it could have a connection.
func TestTenants(t *testing.T) {
	const ms = time.Millisecond
	of := func(tenant model.TenantID, arrival time.Duration, changes ...func(*tenantJob)) tenantJob {
		j := tenantJob{tenant: tenant, job: job{arrival: arrival, serviceTime: 5 * ms, timeout: 400 * ms}}
		for _, change := range changes {
			change(&j)
		}
		return j
	}
	refused := func(code model.Code) func(*tenantJob) { return func(j *tenantJob) { j.refused = code } }
	timeout := func(d time.Duration) func(*tenantJob) { return func(j *tenantJob) { j.timeout = d } }
	within := func(d time.Duration) func(*tenantJob) { return func(j *tenantJob) { j.within = d } }
	pausing := func(j *tenantJob) { j.pause = 100 * ms }
	breaking := func(j *tenantJob) { j.breaks = true }
	onlyHere := func(j *tenantJob) { j.onlyHere = true }
	cancelled := func(j *tenantJob) { j.cancelled = 5 * ms }
	tests := map[string]struct {
		connections model.Connections
		connectTime time.Duration // connectTime if zero
		shared      bool          // connections belong to no tenant at first
		failure     error
		full        bool          // the instance takes no connection at first
		at          time.Duration // time of the change
		change      func(s *Scheduler[*tenantConn], i *tenantInstance)
		stopAt      time.Duration // time of the end of Run; zero for after all work
		loads       bool          // Load is called at intervals
		jobs        []tenantJob
		opened      int // number of connections opened; zero for any
	}{
		"a tenant's idle connection is used again":      {connections: 2, jobs: []tenantJob{of("a", 0), of("a", 50*ms, within(ms)), of("a", 90*ms, within(ms))}, opened: 1},
		"another tenant's is not used":                  {connections: 2, jobs: []tenantJob{of("a", 0), of("b", 50*ms), of("a", 90*ms, within(ms)), of("", 130*ms)}, opened: 3},
		"one is replaced at the limit":                  {connections: 1, jobs: []tenantJob{of("a", 0), of("b", 50*ms, within(13*ms)), of("a", 90*ms)}, opened: 3},
		"those of tenants in turn are kept":             {connections: 3, loads: true, jobs: []tenantJob{of("a", 0), of("b", 40*ms), of("c", 80*ms), of("a", 1200*ms, within(ms)), of("b", 1240*ms, within(ms)), of("c", 1280*ms, within(ms))}, opened: 3},
		"one that no work uses is closed":               {connections: 3, loads: true, jobs: []tenantJob{of("a", 0), of("b", 40*ms), of("a", 2500*ms, within(ms)), of("b", 3500*ms)}, opened: 3},
		"work waits at the limit":                       {connections: 1, jobs: []tenantJob{of("a", 0), of("b", 5*ms, within(30*ms)), of("a", 6*ms, within(60*ms))}},
		"work waits for the end of a broken connection": {connections: 1, jobs: []tenantJob{of("a", 0, breaking), of("b", 5*ms, within(30*ms))}, opened: 2},
		"instance full until a place is free": {
			connections: 2, full: true, at: 120 * ms, change: func(_ *Scheduler[*tenantConn], i *tenantInstance) { i.restore() },
			jobs: []tenantJob{of("a", 0), of("b", 30*ms), of("a", 200*ms)},
		},
		"instance full for too long": {connections: 2, full: true, jobs: []tenantJob{of("a", 0, refused(model.CodeDeadline)), of("b", 0, timeout(60*ms), refused(model.CodeDeadline), within(60*ms))}},
		"instance full beside a transaction": {
			connections: 2, at: 20 * ms, change: func(_ *Scheduler[*tenantConn], i *tenantInstance) { i.setPlaces(1) },
			jobs: []tenantJob{of("a", 0, pausing), of("b", 30*ms, within(130*ms)), of("a", 40*ms)},
		},
		"instance can't be reached": {connections: 2, failure: errors.New("refused"), jobs: []tenantJob{of("a", 0, refused(model.CodeUnavailable)), of("b", 40*ms, refused(model.CodeUnavailable), within(13*ms))}},
		"instance can't be reached for a while, and no other would do": {
			connections: 1, failure: errors.New("refused"), at: 120 * ms, change: func(_ *Scheduler[*tenantConn], i *tenantInstance) { i.restore() },
			jobs: []tenantJob{of("a", 0, onlyHere), of("b", 0, onlyHere, pausing), of("a", 0, refused(model.CodeUnavailable), within(60*ms))},
		},
		"instance can't be reached for too long, and no other would do": {
			connections: 1, failure: errors.New("refused"), stopAt: 500 * ms,
			jobs: []tenantJob{of("a", 0, onlyHere, refused(model.CodeDeadline)), of("b", 300*ms, onlyHere, refused(model.CodeStopping))},
		},
		"cancelled while the instance can't be reached": {
			connections: 1, failure: errors.New("refused"), jobs: []tenantJob{of("a", 0, onlyHere, cancelled, refused(model.CodeUnavailable), within(13*ms))},
		},
		"deadline during the opening":  {connections: 1, connectTime: 200 * ms, jobs: []tenantJob{of("a", 0, timeout(100*ms), refused(model.CodeDeadline), within(100*ms)), of("b", 10*ms)}},
		"cancelled during the opening": {connections: 1, jobs: []tenantJob{of("a", 0, cancelled, refused(model.CodeUnavailable)), of("b", 2*ms, within(16*ms))}},
		"cancelled while waiting":      {connections: 1, jobs: []tenantJob{of("a", 0), of("b", 2*ms, cancelled, refused(model.CodeDeadline)), of("a", 3*ms, within(15*ms))}, opened: 1},
		"transactions keep theirs": {
			connections: 3, jobs: []tenantJob{of("a", 0, pausing), of("b", 0, pausing), of("a", 30*ms, within(13*ms)), of("b", 60*ms, within(13*ms)), of("c", 90*ms, within(13*ms))}, opened: 5,
		},
		"limit lowered during the opening": {
			connections: 2, at: 5 * ms, change: func(s *Scheduler[*tenantConn], _ *tenantInstance) { s.SetLimits(2, 1, false) },
			jobs: []tenantJob{of("a", 0), of("b", 0), of("c", 10*ms), of("a", 80*ms)},
		},
		"end during the opening": {connections: 1, stopAt: 5 * ms, jobs: []tenantJob{of("a", 0, refused(model.CodeStopping)), of("b", 2*ms, refused(model.CodeStopping))}},
		"end during the work":    {connections: 2, stopAt: 15 * ms, jobs: []tenantJob{of("a", 0), of("b", 0, pausing), of("c", 20*ms, refused(model.CodeStopping))}},
		"work of tenants before the scheduler hears of them": {
			connections: 1, shared: true, at: 60 * ms, change: func(s *Scheduler[*tenantConn], _ *tenantInstance) { s.SetPerTenant(true) },
			jobs: []tenantJob{of("", 0), of("a", 30*ms), of("", 55*ms), of("b", 90*ms)},
		},
		"tenants are taken out of the configuration": {
			connections: 1, at: 60 * ms, change: func(s *Scheduler[*tenantConn], _ *tenantInstance) { s.SetPerTenant(false) },
			jobs: []tenantJob{of("a", 0), of("", 70*ms), of("", 110*ms, within(ms))},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := &tenantInstance{connectTime: max(test.connectTime, connectTime), failure: test.failure, places: 9}
				if test.full {
					instance.places = 0
				}
				s := New[*tenantConn]()
				s.Connections, s.MinConnections = test.connections, 0
				s.Pool.Open = instance.connect
				s.Pool.Tenant = func(c *tenantConn) model.TenantID { return c.tenant }
				s.Pool.Close = func(context.Context, *tenantConn) error {
					instance.mutex.Lock()
					defer instance.mutex.Unlock()
					instance.open--
					return nil
				}
				s.Pool.MinBackoff = func(err error) time.Duration {
					if model.CodeOf(err) == model.CodeConnectionsFull {
						return 100 * ms
					}
					return 0
				}
				s.SetPerTenant(!test.shared)
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go s.Run(ctx, done)
				var group sync.WaitGroup
				for _, j := range test.jobs {
					group.Go(func() { j.run(t, s) })
				}
				if test.change != nil {
					group.Go(func() { time.Sleep(test.at); test.change(s, instance) })
				}
				if test.loads {
					group.Go(func() {
						for range 50 {
							time.Sleep(100 * ms)
							s.Load()
						}
					})
				}
				if test.stopAt > 0 {
					group.Go(func() { time.Sleep(test.stopAt); stop() })
				}
				group.Wait()
				time.Sleep(20 * ms)
				if s.running != 0 || s.connectionsInUse != 0 || s.pinned != 0 || s.queue.Len() != 0 {
					t.Errorf("got %d running, %d connections in use, %d held, %d waiting at the end, want none", s.running, s.connectionsInUse, s.pinned, s.queue.Len())
				}
				counts := s.Pool.Counts()
				if counts.Open != counts.Idle || counts.Opening != 0 || counts.Open > s.Connections || int(counts.Open) != instance.open {
					t.Errorf("got %+v and %d open at the instance, want all idle and at most %d", counts, instance.open, s.Connections)
				}
				if got := instance.opened; test.opened > 0 && got != test.opened {
					t.Errorf("got %d connections opened, want %d", got, test.opened)
				}
				stop()
				<-done
				if got := instance.open; got != 0 {
					t.Errorf("got %d connections open after the end, want 0", got)
				}
			})
		})
	}
}
