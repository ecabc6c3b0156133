package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"redwingspread/internal/model"
)

// Pool is the pool of one host's connections to one instance.
//
// Connections may belong to tenants. Those of a tenant are opened by the work that needs them, with TakeFor and OpenReserved; the
// target counts connections of no tenant.
type Pool[C any] struct {
	// Open opens one connection, which belongs to the tenant unless that is empty.
	Open func(ctx context.Context, tenant model.TenantID) (C, error)
	// Tenant returns the tenant that a connection belongs to.
	Tenant func(conn C) model.TenantID
	// Close closes one connection; its error is ignored, since instances drop connections that they don't hear from.
	Close func(ctx context.Context, conn C) error
	// MinBackoff returns the least backoff after a failure to open with the error.
	MinBackoff func(err error) time.Duration
	// Limit is the greatest number of connections, including those being opened or closed.
	Limit model.Connections
	// MaxOpening is the greatest number of connections being opened at once, to avoid a stampede.
	MaxOpening int
	// OnIdle is called, without the lock held, when a connection may be had: a newly opened one becomes idle, one is closed, or a
	// backoff ends.
	OnIdle func()
	// OnBlocked is called, without the lock held, after a failure for which MinBackoff asks for a backoff.
	OnBlocked func()
	// Jitter returns a random number in [0, 1) that spreads the backoff.
	Jitter func() float64
	// Now returns the current time.
	Now func() time.Time

	mutex      sync.Mutex
	target     model.Connections // number of connections to keep open
	idle       []idleConn[C]     // most recently used or opened last
	open       model.Connections // number of idle, taken and closing connections
	opening    model.Connections // number of connections being opened
	closing    []C               // waiting to be closed
	backoff    time.Duration     // current backoff; zero when the last attempt to open succeeded
	backingOff bool              // a backoff is in progress
	fullUntil  time.Time         // end of the latest backoff for which MinBackoff asked
	backoffDue time.Duration     // backoff after a reserved opening that Run has to wait for; zero for none
	failures   int               // failed attempts to open since the start
	stopped    bool              // Run has closed the idle connections; those returned later are closed at once
	wake       chan struct{}     // wakes Run
}

// idleConn is an idle connection.
type idleConn[C any] struct {
	conn  C
	since time.Time
}

// Counts holds the number of connections by state.
type Counts struct {
	Open     model.Connections // idle, taken and closing connections
	Idle     model.Connections
	Opening  model.Connections
	Failures int // failed attempts to open since the start
}

const (
	minBackoff        = 10 * time.Millisecond
	maxBackoff        = 250 * time.Millisecond
	openTimeout       = 5 * time.Second
	closeTimeout      = 2 * time.Second
	defaultMaxOpening = 4
)

// New returns a pool with defaults; its exported fields have to be set before Run.
func New[C any]() *Pool[C] {
	return &Pool[C]{
		MaxOpening: defaultMaxOpening,
		OnIdle:     func() {},
		OnBlocked:  func() {},
		MinBackoff: func(error) time.Duration { return 0 },
		Tenant:     func(C) model.TenantID { return "" },
		Jitter:     rand.Float64,
		Now:        time.Now,
		wake:       make(chan struct{}, 1),
	}
}

// Take returns the most recently used idle connection, or false when there is none.
func (p *Pool[C]) Take() (conn C, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return conn, false
	}
	last := len(p.idle) - 1
	conn = p.idle[last].conn
	p.removeIdle(last)
	return conn, true
}

// Put returns a taken connection that has no outstanding response.
func (p *Pool[C]) Put(conn C) {
	if !p.keepIdle(conn) {
		p.closeLate(conn)
	}
}

// keepIdle adds an idle connection; it returns false after the end of Run.
func (p *Pool[C]) keepIdle(conn C) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped {
		return false
	}
	p.idle = append(p.idle, idleConn[C]{conn, p.Now()})
	p.trimToLimit()
	return true
}

// Discard schedules a taken connection for closing.
func (p *Pool[C]) Discard(conn C) {
	if !p.scheduleClosing(conn) {
		p.closeLate(conn)
	}
}

// scheduleClosing makes Run close a connection; it returns false after the end of Run.
func (p *Pool[C]) scheduleClosing(conn C) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped {
		return false
	}
	p.closing = append(p.closing, conn)
	p.wakeRun()
	return true
}

// closeLate closes a connection that was in use at the end of Run.
func (p *Pool[C]) closeLate(conn C) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.closeCounted(ctx, conn)
}

// Clear schedules all idle connections for closing, for when the instance no longer knows them.
func (p *Pool[C]) Clear() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		p.closeLeastRecent()
	}
}

// SetTarget sets the number of connections to keep open.
func (p *Pool[C]) SetTarget(target model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.target == target {
		return
	}
	p.target = target
	p.trimToLimit()
	p.wakeRun()
}

// SetLimit changes the greatest number of connections; excess ones are closed once they are idle.
func (p *Pool[C]) SetLimit(limit model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Limit = limit
	p.trimToLimit()
	p.wakeRun()
}

// Counts returns the number of connections by state.
func (p *Pool[C]) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Counts{
		Open:     p.open,
		Idle:     model.Connections(len(p.idle)),
		Opening:  p.opening,
		Failures: p.failures,
	}
}

// Trim lowers the target to the given number and closes idle connections above it.
func (p *Pool[C]) Trim(keep model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = min(p.target, keep)
	p.trimTo(keep)
}

// TrimUnused closes the connections that have been idle since before the given time.
func (p *Pool[C]) TrimUnused(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 && p.idle[0].since.Before(before) {
		p.closeLeastRecent()
	}
}

// trimToLimit schedules idle connections above the limit for closing.
func (p *Pool[C]) trimToLimit() { p.trimTo(p.Limit) }

// trimTo schedules idle connections for closing, least recently used first, until the given number is left.
func (p *Pool[C]) trimTo(keep model.Connections) {
	for p.open-model.Connections(len(p.closing)) > keep && len(p.idle) > 0 {
		p.closeLeastRecent()
	}
}

// closeLeastRecent schedules the least recently used idle connection for closing.
func (p *Pool[C]) closeLeastRecent() {
	p.closing = append(p.closing, p.idle[0].conn)
	p.removeIdle(0)
	p.wakeRun()
}

// wakeRun wakes Run without blocking.
func (p *Pool[C]) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run opens and closes connections until the context is cancelled, then closes all idle ones and sends the context's error on
// done.
//
// Connections in use are closed when they are returned.
func (p *Pool[C]) Run(ctx context.Context, done chan<- error) {
	finished := make(chan struct{})
	running := 0
	for ctx.Err() == nil {
		running += p.start(ctx, finished)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-finished:
			running--
		}
	}
	running += p.startClosing(ctx, finished, p.drain())
	for ; running > 0; running-- {
		<-finished
	}
	done <- ctx.Err()
}

// start starts the connection attempts and closings that are due and returns the number of goroutines.
func (p *Pool[C]) start(ctx context.Context, finished chan<- struct{}) int {
	p.mutex.Lock()
	closing := p.closing
	p.closing = nil
	backoff := p.backoffDue
	p.backoffDue = 0
	opening := 0
	for p.shouldOpen() {
		p.opening++
		opening++
	}
	p.mutex.Unlock()
	for range opening {
		go p.openOne(ctx, finished)
	}
	waiting := 0
	if backoff > 0 {
		waiting++
		go func() {
			p.waitBackoff(ctx, backoff)
			finished <- struct{}{}
		}()
	}
	return opening + waiting + p.startClosing(ctx, finished, closing)
}

// startClosing closes each connection in its own goroutine and returns the number of goroutines.
func (p *Pool[C]) startClosing(ctx context.Context, finished chan<- struct{}, conns []C) int {
	for _, conn := range conns {
		go p.closeOne(ctx, conn, finished)
	}
	return len(conns)
}

// shouldOpen reports whether one more connection should be opened now.
func (p *Pool[C]) shouldOpen() bool {
	if p.backingOff || int(p.opening) >= p.MaxOpening {
		return false
	}
	if p.backoff > 0 && p.opening > 0 {
		return false
	}
	return p.open+p.opening < min(p.target, p.Limit)
}

// drain removes and returns all connections to be closed at the end of Run, from which on none becomes idle.
func (p *Pool[C]) drain() []C {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		p.closeLeastRecent()
	}
	conns := p.closing
	p.closing = nil
	p.stopped = true
	return conns
}

// openOne opens one connection and waits for the backoff if that fails.
func (p *Pool[C]) openOne(ctx context.Context, finished chan<- struct{}) {
	defer func() { finished <- struct{}{} }()
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := p.Open(openCtx, "")
	if err != nil {
		least := p.MinBackoff(err)
		wait := p.recordFailure(least, maxBackoff)
		if least > 0 {
			p.OnBlocked()
		}
		p.waitBackoff(ctx, wait)
		return
	}
	p.addTaken()
	p.Put(conn)
	p.OnIdle()
}

// recordFailure counts a failure to open and returns the backoff to wait for, which grows up to the longest; zero when another goroutine
// is already waiting.
func (p *Pool[C]) recordFailure(least, longest time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	p.failures++
	if p.backingOff {
		return 0
	}
	p.backingOff = true
	p.backoff = max(min(max(2*p.backoff, minBackoff), longest), least)
	wait := p.backoff/2 + time.Duration(p.Jitter()*float64(p.backoff/2))
	p.fullUntil = time.Time{}
	if least > 0 {
		p.fullUntil = p.Now().Add(wait)
	}
	return wait
}

// BlockedFor returns how long the pool stays without a connection at least: none is open or being opened, and the instance has
// refused the latest one for a reason for which MinBackoff asks.
func (p *Pool[C]) BlockedFor() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.backingOff || p.open+p.opening > 0 {
		return 0
	}
	return max(p.fullUntil.Sub(p.Now()), 0)
}

// waitBackoff waits for the backoff and then wakes Run and reports that connections may be opened again.
func (p *Pool[C]) waitBackoff(ctx context.Context, wait time.Duration) {
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	p.endBackoff()
	p.OnIdle()
}

// endBackoff ends the backoff and wakes Run.
func (p *Pool[C]) endBackoff() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.backingOff = false
	p.wakeRun()
}

// closeOne closes one connection, even after the context is cancelled.
func (p *Pool[C]) closeOne(ctx context.Context, conn C, finished chan<- struct{}) {
	defer func() { finished <- struct{}{} }()
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	p.closeCounted(closeCtx, conn)
	p.OnIdle()
}

// closeCounted closes a connection, which counts until then.
func (p *Pool[C]) closeCounted(ctx context.Context, conn C) {
	_ = p.Close(ctx, conn) // the instance drops connections that it doesn't hear from
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
}
