package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
)

// openTime is what a connection costs on the test's clock.
const openTime = 10 * time.Millisecond

// instance is a fake that opens connections up to its limit.
type instance struct {
	mutex       sync.Mutex
	limit       int
	down        bool // refuses every opening
	open        int
	others      int // connections that other hosts hold
	mostOpen    int
	opening     int
	mostOpening int
	calls       int
}

// conn is one connection of the fake.
type conn struct {
	instance *instance
	id       int
}

func (i *instance) Open(ctx context.Context) (*conn, error) {
	i.begin()
	timer := time.NewTimer(openTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.opening--
	if i.down || i.open+i.others >= i.limit {
		return nil, model.Refuse(model.CodeConnectionsFull, "%d open", i.open)
	}
	i.open++
	i.mostOpen = max(i.mostOpen, i.open)
	return &conn{instance: i, id: i.calls}, nil
}

// begin counts a call.
func (i *instance) begin() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.calls++
	i.opening++
	i.mostOpening = max(i.mostOpening, i.opening)
}

// set changes the fake while it is used.
func (i *instance) set(change func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	change()
}

func (c *conn) Close() error {
	c.instance.set(func() { c.instance.open-- })
	return nil
}

func TestPool(t *testing.T) {
	tests := map[string]struct {
		limit, target model.Connections
		steps         func(t *testing.T, p *Pool[*conn], i *instance)
		idle          model.Connections
		most          int // connections open at once
		calls         int // greatest number of openings tried
	}{
		"warm ahead of need":       {limit: 15, target: 6, idle: 6, most: 6, calls: 6},
		"never above the limit":    {limit: 4, target: 9, idle: 4, most: 4, calls: 4},
		"a connection comes back":  {limit: 4, target: 4, idle: 4, most: 4, calls: 4, steps: putBack},
		"a doubtful one is closed": {limit: 4, target: 4, idle: 4, most: 4, calls: 5, steps: discard},
		"a smaller limit closes idle ones": {
			limit: 6, target: 6, idle: 2, most: 6, calls: 6,
			steps: func(_ *testing.T, p *Pool[*conn], _ *instance) { p.SetLimit(2) },
		},
		"connections that others hold are waited for": {
			limit: 15, target: 6, idle: 6, most: 6, calls: 75,
			steps: func(_ *testing.T, p *Pool[*conn], i *instance) {
				i.set(func() { i.others = 15 })
				takeAll(p)
				time.Sleep(10 * time.Second)
				i.set(func() { i.others = 0 })
			},
		},
		"an instance that is down is tried seldom": {
			limit: 15, target: 6, idle: 0, most: 6, calls: 75, // a pause is 188 ms on average
			steps: func(_ *testing.T, p *Pool[*conn], i *instance) {
				i.set(func() { i.down = true })
				takeAll(p)
				time.Sleep(10 * time.Second)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &instance{limit: 15}
				p := New[*conn]()
				p.Open = fake.Open
				p.Close = func(_ context.Context, c *conn) error { return c.Close() }
				p.Limit = test.limit
				p.Jitter = func() float64 { return 0.5 }
				p.SetTarget(test.target)
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go p.Run(ctx, done)
				time.Sleep(time.Second)
				if test.steps != nil {
					test.steps(t, p, fake)
					time.Sleep(time.Second)
				}
				if got := p.Counts().Idle; got != test.idle {
					t.Errorf("got %d idle connections, want %d", got, test.idle)
				}
				if got := fake.mostOpen; got != test.most {
					t.Errorf("got %d connections open at once, want %d", got, test.most)
				}
				if got := fake.calls; got > test.calls {
					t.Errorf("got %d openings, want at most %d", got, test.calls)
				}
				if got, want := fake.mostOpening, defaultMaxOpening; got > want {
					t.Errorf("got %d openings at once, want at most %d", got, want)
				}
				stop()
				if got, want := <-done, context.Canceled; got != want {
					t.Errorf("got end %v, want %v", got, want)
				}
				if got := fake.open; got != 0 {
					t.Errorf("got %d connections open at the end, want 0", got)
				}
			})
		})
	}
}

// putBack takes a connection and gives it back.
func putBack(t *testing.T, p *Pool[*conn], _ *instance) {
	taken, found := p.Take()
	if !found {
		t.Fatal("got no connection, want one")
	}
	p.Put(taken)
}

// discard takes a connection and has it closed.
func discard(t *testing.T, p *Pool[*conn], _ *instance) {
	taken, found := p.Take()
	if !found {
		t.Fatal("got no connection, want one")
	}
	p.Discard(taken)
}

// takeAll has all idle connections closed.
func takeAll(p *Pool[*conn]) {
	for {
		taken, found := p.Take()
		if !found {
			return
		}
		p.Discard(taken)
	}
}
