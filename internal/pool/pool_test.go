package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
)

// openTime is the time that opening a connection takes on the test's clock.
const openTime = 10 * time.Millisecond

// fakeInstance is a fake instance that opens connections up to its limit.
type fakeInstance struct {
	mutex      sync.Mutex
	limit      int
	down       bool  // refuses every connection
	failure    error // of a refused connection; nil for one that means that the instance is full
	open       int
	otherHosts int // connections held by other hosts
	maxOpen    int
	opening    int
	maxOpening int
	attempts   int
}

// fakeConn is a connection to the fake instance.
type fakeConn struct {
	instance *fakeInstance
	id       int
	tenant   model.TenantID
}

func (i *fakeInstance) Open(ctx context.Context, tenant model.TenantID) (*fakeConn, error) {
	i.startAttempt()
	timer := time.NewTimer(openTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.opening--
	if i.failure != nil {
		return nil, i.failure
	}
	if i.down || i.open+i.otherHosts >= i.limit {
		return nil, model.Refuse(model.CodeConnectionsFull, "%d open", i.open)
	}
	i.open++
	i.maxOpen = max(i.maxOpen, i.open)
	return &fakeConn{instance: i, id: i.attempts, tenant: tenant}, nil
}

// startAttempt counts an attempt to open a connection.
func (i *fakeInstance) startAttempt() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.attempts++
	i.opening++
	i.maxOpening = max(i.maxOpening, i.opening)
}

// update changes the fake instance while it is in use.
func (i *fakeInstance) update(change func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	change()
}

func (c *fakeConn) Close() error {
	c.instance.update(func() { c.instance.open-- })
	return nil
}

func TestPool(t *testing.T) {
	tests := map[string]struct {
		limit, target model.Connections
		steps         func(t *testing.T, p *Pool[*fakeConn], i *fakeInstance)
		idle          model.Connections
		maxOpen       int // greatest number of connections open at once
		attempts      int // greatest number of attempts to open
	}{
		"opened ahead of demand":           {limit: 15, target: 6, idle: 6, maxOpen: 6, attempts: 6},
		"never above the limit":            {limit: 4, target: 9, idle: 4, maxOpen: 4, attempts: 4},
		"returned connection stays open":   {limit: 4, target: 4, idle: 4, maxOpen: 4, attempts: 4, steps: takeAndPut},
		"discarded connection is replaced": {limit: 4, target: 4, idle: 4, maxOpen: 4, attempts: 5, steps: takeAndDiscard},
		"lower limit closes idle connections": {
			limit: 6, target: 6, idle: 2, maxOpen: 6, attempts: 6,
			steps: func(_ *testing.T, p *Pool[*fakeConn], _ *fakeInstance) { p.SetLimit(2) },
		},
		"waits while other hosts hold all connections": {
			limit: 15, target: 6, idle: 6, maxOpen: 6, attempts: 75,
			steps: func(_ *testing.T, p *Pool[*fakeConn], i *fakeInstance) {
				i.update(func() { i.otherHosts = 15 })
				discardAll(p)
				time.Sleep(10 * time.Second)
				i.update(func() { i.otherHosts = 0 })
			},
		},
		"backs off while the instance is down": {
			limit: 15, target: 6, idle: 0, maxOpen: 6, attempts: 75, // the longest backoff is 188 ms with this jitter
			steps: func(_ *testing.T, p *Pool[*fakeConn], i *fakeInstance) {
				i.update(func() { i.down = true })
				discardAll(p)
				time.Sleep(10 * time.Second)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := &fakeInstance{limit: 15}
				p := New[*fakeConn]()
				p.Open = instance.Open
				p.Close = func(_ context.Context, c *fakeConn) error { return c.Close() }
				p.Limit = test.limit
				p.Jitter = func() float64 { return 0.5 }
				p.SetTarget(test.target)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go p.Run(ctx, done)
				time.Sleep(time.Second)
				if test.steps != nil {
					test.steps(t, p, instance)
					time.Sleep(time.Second)
				}
				if got := p.Counts().Idle; got != test.idle {
					t.Errorf("got %d idle connections, want %d", got, test.idle)
				}
				if got := instance.maxOpen; got != test.maxOpen {
					t.Errorf("got %d connections open at once, want %d", got, test.maxOpen)
				}
				if got := instance.attempts; got > test.attempts {
					t.Errorf("got %d attempts to open, want at most %d", got, test.attempts)
				}
				if got, want := instance.maxOpening, defaultMaxOpening; got > want {
					t.Errorf("got %d connections being opened at once, want at most %d", got, want)
				}
				stop()
				if got, want := <-done, context.Canceled; got != want {
					t.Errorf("got error %v at the end, want %v", got, want)
				}
				if got := instance.open; got != 0 {
					t.Errorf("got %d connections open at the end, want 0", got)
				}
			})
		})
	}
}

// takeAndPut takes a connection and returns it.
func takeAndPut(t *testing.T, p *Pool[*fakeConn], _ *fakeInstance) {
	taken, found := p.Take()
	if !found {
		t.Fatal("got no connection, want one")
	}
	p.Put(taken)
}

// takeAndDiscard takes a connection and discards it.
func takeAndDiscard(t *testing.T, p *Pool[*fakeConn], _ *fakeInstance) {
	taken, found := p.Take()
	if !found {
		t.Fatal("got no connection, want one")
	}
	p.Discard(taken)
}

// discardAll takes and discards all idle connections.
func discardAll(p *Pool[*fakeConn]) {
	for {
		taken, found := p.Take()
		if !found {
			return
		}
		p.Discard(taken)
	}
}
