package pool

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
)

// tenantPool is a pool whose connections belong to tenants, as one piece of work after another uses it.
type tenantPool struct {
	*Pool[*fakeConn]
	t        *testing.T
	instance *fakeInstance
	ready    int // calls of OnIdle
	stop     context.CancelFunc
}

// use takes or opens a connection of the tenant; it returns nil if there is none or it can't be opened.
func (p *tenantPool) use(tenant model.TenantID) *fakeConn {
	if !p.CanServe() {
		return nil
	}
	conn, found, reservation := p.TakeFor(tenant)
	if !found {
		conn, _ = p.OpenReserved(p.t.Context(), tenant, reservation)
	}
	if conn != nil && conn.tenant != tenant {
		p.t.Errorf("got a connection of tenant %s, want one of %s", conn.tenant, tenant)
	}
	return conn
}

// run opens and returns a connection of each tenant in turn.
func (p *tenantPool) run(tenants ...model.TenantID) {
	for _, tenant := range tenants {
		if conn := p.use(tenant); conn != nil {
			p.Put(conn)
		}
	}
}

// open uses a connection of each tenant at the same time and returns them in that order.
func (p *tenantPool) open(tenants ...model.TenantID) {
	var conns []*fakeConn
	for _, tenant := range tenants {
		conns = append(conns, p.use(tenant))
	}
	for _, conn := range conns {
		p.Put(conn)
	}
}

// TestTenants guards against connections that are lent to another tenant, opened beyond the limit or lost, and against work that
// waits although a connection could be had.
func TestTenants(t *testing.T) {
	tests := map[string]struct {
		limit    model.Connections
		steps    func(p *tenantPool)
		idle     []model.TenantID // at the end, least recently used first
		attempts int              // to open a connection
		ready    bool             // work may be waiting for OnIdle
		blocked  bool             // CanServe reports false at the end
	}{
		"idle connection is used again":          {limit: 2, steps: func(p *tenantPool) { p.run("a", "a", "a") }, idle: []model.TenantID{"a"}, attempts: 1},
		"opened while the limit allows":          {limit: 2, steps: func(p *tenantPool) { p.run("a", "b", "a") }, idle: []model.TenantID{"b", "a"}, attempts: 2},
		"least recently used one makes way":      {limit: 2, steps: func(p *tenantPool) { p.run("a", "b", "a", "c") }, idle: []model.TenantID{"a", "c"}, attempts: 3},
		"none is free at the limit":              {limit: 1, steps: func(p *tenantPool) { p.use("a") }, attempts: 1, blocked: true},
		"a reservation counts towards the limit": {limit: 1, steps: func(p *tenantPool) { p.TakeFor("a") }, blocked: true},
		"those unused for long are closed": {limit: 3, steps: func(p *tenantPool) {
			p.open("a", "b", "c")
			time.Sleep(time.Second)
			p.run("a")
			p.TrimUnused(time.Now().Add(-time.Second))
			p.run("b")
			p.TrimUnused(time.Now().Add(-time.Millisecond))
		}, idle: []model.TenantID{"a", "b"}, attempts: 3, ready: true},
		"a cancelled reservation frees its place": {limit: 1, steps: func(p *tenantPool) {
			_, _, reservation := p.TakeFor("a")
			p.CancelReservation(reservation)
		}},
		"a cancelled reservation returns the evicted connection to its place": {limit: 2, steps: func(p *tenantPool) {
			p.open("a", "b")
			_, _, reservation := p.TakeFor("c")
			p.CancelReservation(reservation)
		}, idle: []model.TenantID{"a", "b"}, attempts: 2},
		"a cancelled reservation under a lower limit": {limit: 2, steps: func(p *tenantPool) {
			p.open("a", "b")
			_, _, reservation := p.TakeFor("c")
			p.SetLimit(1)
			p.CancelReservation(reservation)
		}, idle: []model.TenantID{"b"}, attempts: 2, ready: true},
		"a connection opened under a lower limit is closed after its use": {limit: 2, steps: func(p *tenantPool) {
			p.run("a")
			_, _, reservation := p.TakeFor("b")
			p.SetLimit(1)
			conn, _ := p.OpenReserved(p.t.Context(), "b", reservation)
			p.Put(conn)
		}, idle: []model.TenantID{"b"}, attempts: 2, ready: true},
		"a failure without a backoff frees the place": {limit: 1, steps: func(p *tenantPool) {
			p.instance.update(func() { p.instance.failure = errors.New("closed") })
			p.run("a")
		}, attempts: 1},
		"a full instance gives no connection until the backoff ends": {limit: 2, steps: func(p *tenantPool) {
			p.instance.update(func() { p.instance.otherHosts = 15 })
			p.run("a", "a", "a")
		}, attempts: 1, ready: true, blocked: true},
		"a full instance gives one in place of an idle one": {limit: 2, steps: func(p *tenantPool) {
			p.open("a", "b")
			p.instance.update(func() { p.instance.otherHosts = 13 })
			p.Discard(p.use("b"))
			time.Sleep(time.Millisecond)
			p.instance.update(func() { p.instance.otherHosts = 14 })
			p.run("c", "d")
		}, idle: []model.TenantID{"d"}, attempts: 4, ready: true},
		"a full instance is tried again each 75 ms": {limit: 2, steps: func(p *tenantPool) {
			p.instance.update(func() { p.instance.otherHosts = 15 })
			for range 100 {
				p.run("a")
				time.Sleep(5 * time.Millisecond)
			}
		}, attempts: 7, ready: true, blocked: true},
		"work is told of the end of the backoff": {limit: 2, steps: func(p *tenantPool) {
			p.instance.update(func() { p.instance.otherHosts = 15 })
			p.run("a")
			p.instance.update(func() { p.instance.otherHosts = 0 })
			time.Sleep(time.Second)
		}, attempts: 1, ready: true},
		"work is told of the end of a backoff of the pool's own": {limit: 2, steps: func(p *tenantPool) {
			p.instance.update(func() { p.instance.failure = errors.New("closed") })
			p.SetTarget(1)
			time.Sleep(openTime + time.Millisecond)
			p.SetTarget(0)
			time.Sleep(time.Second)
		}, attempts: 1, ready: true},
		"work is told of the end of a discarded connection": {limit: 1, steps: func(p *tenantPool) {
			p.Discard(p.use("a"))
			time.Sleep(time.Second)
		}, attempts: 1, ready: true},
		"a connection returned after the end is closed": {limit: 2, steps: func(p *tenantPool) {
			conn, broken := p.use("a"), p.use("b")
			p.stop()
			synctest.Wait()
			p.Put(conn)
			p.Discard(broken)
		}, attempts: 2, blocked: true},
		"a connection opened during the end is closed": {limit: 2, steps: func(p *tenantPool) {
			_, _, reservation := p.TakeFor("a")
			p.stop()
			synctest.Wait()
			if conn, err := p.OpenReserved(context.WithoutCancel(p.t.Context()), "a", reservation); err == nil {
				p.t.Errorf("got connection %v, want an error", conn)
			}
		}, attempts: 1, blocked: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &tenantPool{Pool: New[*fakeConn](), t: t, instance: &fakeInstance{limit: 15}}
				p.Open = p.instance.Open
				p.Tenant = func(c *fakeConn) model.TenantID { return c.tenant }
				p.Close = func(_ context.Context, c *fakeConn) error { return c.Close() }
				p.MinBackoff = func(err error) time.Duration {
					if model.CodeOf(err) == model.CodeConnectionsFull {
						return 100 * time.Millisecond
					}
					return 0
				}
				p.OnIdle = func() { p.instance.update(func() { p.ready++ }) }
				p.Limit = test.limit
				p.Jitter = func() float64 { return 0.5 }
				var ctx context.Context
				ctx, p.stop = context.WithCancel(t.Context())
				done := make(chan error, 1)
				go p.Run(ctx, done)
				test.steps(p)
				if got := !p.CanServe(); got != test.blocked {
					t.Errorf("got blocked %v, want %v", got, test.blocked)
				}
				synctest.Wait()
				var idle []model.TenantID
				p.mutex.Lock()
				for _, idling := range p.idle {
					idle = append(idle, idling.conn.tenant)
				}
				p.mutex.Unlock()
				if !slices.Equal(idle, test.idle) {
					t.Errorf("got idle connections of %v, want %v", idle, test.idle)
				}
				if got := p.instance.attempts; got != test.attempts {
					t.Errorf("got %d attempts to open, want %d", got, test.attempts)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if got := p.ready > 0; got != test.ready {
					t.Errorf("got %d calls of OnIdle, want some: %v", p.ready, test.ready)
				}
				used := p.Counts().Open - p.Counts().Idle
				p.stop()
				<-done
				if got, want := p.instance.open, int(used); got != want {
					t.Errorf("got %d connections open at the end, want the %d in use", got, want)
				}
			})
		})
	}
}
