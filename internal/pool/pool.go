package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"redwingspread/internal/model"
)

// Pool keeps the connections of one host to one instance.
type Pool[C any] struct {
	// Open opens one connection.
	Open func(ctx context.Context) (C, error)
	// Close closes one connection; its error is of no consequence, since instances drop what they did not hear of.
	Close func(ctx context.Context, conn C) error
	// MinBackOff returns the least time without openings after one that failed with the error.
	MinBackOff func(err error) time.Duration
	// Limit is the greatest number of connections, those being opened or closed included.
	Limit model.Connections
	// MaxOpening is the number of connections that are opened at once, against a stampede.
	MaxOpening int
	// OnIdle is called, without locks, when a connection has become idle.
	OnIdle func()
	// Jitter returns a number in [0, 1) that spreads the back-off.
	Jitter func() float64

	mutex      sync.Mutex
	target     model.Connections // connections that should be open
	idle       []C               // newest last
	open       model.Connections // idle, taken and closing connections
	opening    model.Connections
	closing    []C           // to be closed
	backOff    time.Duration // zero when the last opening succeeded
	backingOff bool          // true while the back-off lasts
	failures   int
	wake       chan struct{}
}

// Counts tells the number of connections in each state.
type Counts struct {
	Open     model.Connections // idle, taken and closing ones
	Idle     model.Connections
	Opening  model.Connections
	Failures int // openings that failed since the start
}

const (
	minBackOff        = 10 * time.Millisecond
	maxBackOff        = 250 * time.Millisecond
	openTimeout       = 5 * time.Second
	closeTimeout      = 2 * time.Second
	defaultMaxOpening = 4
)

// New returns a pool with defaults, whose exported fields are to be set before Run.
func New[C any]() *Pool[C] {
	return &Pool[C]{
		MaxOpening: defaultMaxOpening,
		OnIdle:     func() {},
		MinBackOff: func(error) time.Duration { return 0 },
		Jitter:     rand.Float64,
		wake:       make(chan struct{}, 1),
	}
}

// Take returns an idle connection, the one used last, and false when there is none.
func (p *Pool[C]) Take() (conn C, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return conn, false
	}
	last := len(p.idle) - 1
	conn, p.idle[last] = p.idle[last], conn
	p.idle = p.idle[:last]
	return conn, true
}

// Put gives a taken connection back that has no answer outstanding.
func (p *Pool[C]) Put(conn C) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, conn)
	p.trimToLimit()
}

// Discard has a taken connection closed.
func (p *Pool[C]) Discard(conn C) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closing = append(p.closing, conn)
	p.signal()
}

// Clear has all idle connections closed, since the instance no longer knows them.
func (p *Pool[C]) Clear() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closing = append(p.closing, p.idle...)
	p.idle = nil
	p.signal()
}

// SetTarget sets how many connections should be open.
func (p *Pool[C]) SetTarget(target model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.target == target {
		return
	}
	p.target = target
	p.trimToLimit()
	p.signal()
}

// SetLimit changes the greatest number of connections; those too many are closed once they are idle.
func (p *Pool[C]) SetLimit(limit model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Limit = limit
	p.trimToLimit()
	p.signal()
}

// Counts returns the number of connections in each state.
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

// Trim has idle connections closed that are more than to be kept.
func (p *Pool[C]) Trim(keep model.Connections) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = min(p.target, keep)
	p.trimTo(keep)
}

// trimToLimit has idle connections closed that are above the limit.
func (p *Pool[C]) trimToLimit() { p.trimTo(p.Limit) }

// trimTo has the idle connections closed, those idle for longest first, that are more than to be kept.
func (p *Pool[C]) trimTo(keep model.Connections) {
	for p.open-model.Connections(len(p.closing)) > keep && len(p.idle) > 0 {
		p.closing = append(p.closing, p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.signal()
	}
}

// signal wakes Run without waiting for it.
func (p *Pool[C]) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run opens and closes connections until the context ends, then closes all idle ones and reports its end on done.
//
// Its owner gives all taken connections back before it ends the context.
func (p *Pool[C]) Run(ctx context.Context, done chan<- error) {
	ended := make(chan struct{})
	running := 0
	for ctx.Err() == nil {
		running += p.start(ctx, ended)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-ended:
			running--
		}
	}
	running += p.startClosing(ctx, ended, p.drain())
	for ; running > 0; running-- {
		<-ended
	}
	done <- ctx.Err()
}

// start starts what is to be opened and closed now and returns the number of goroutines.
func (p *Pool[C]) start(ctx context.Context, ended chan<- struct{}) int {
	p.mutex.Lock()
	closing := p.closing
	p.closing = nil
	opening := 0
	for p.shouldOpen() {
		p.opening++
		opening++
	}
	p.mutex.Unlock()
	for range opening {
		go p.openOne(ctx, ended)
	}
	return opening + p.startClosing(ctx, ended, closing)
}

// startClosing closes the connections in goroutines of their own and returns their number.
func (p *Pool[C]) startClosing(ctx context.Context, ended chan<- struct{}, conns []C) int {
	for _, conn := range conns {
		go p.closeOne(ctx, conn, ended)
	}
	return len(conns)
}

// shouldOpen reports whether one more connection is to be opened now.
func (p *Pool[C]) shouldOpen() bool {
	if p.backingOff || int(p.opening) >= p.MaxOpening {
		return false
	}
	if p.backOff > 0 && p.opening > 0 {
		return false
	}
	return p.open+p.opening < min(p.target, p.Limit)
}

// drain takes all connections that are to be closed at the end.
func (p *Pool[C]) drain() []C {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := append(p.closing, p.idle...)
	p.closing, p.idle = nil, nil
	return conns
}

// openOne opens one connection and, when that fails, holds back the next ones.
func (p *Pool[C]) openOne(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	open, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := p.Open(open)
	if err != nil {
		p.waitBackOff(ctx, p.recordFailure(p.MinBackOff(err)))
		return
	}
	p.addIdle(conn)
	p.OnIdle()
}

// addIdle adds an idle connection.
func (p *Pool[C]) addIdle(conn C) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	p.open++
	p.backOff = 0
	p.idle = append(p.idle, conn)
	p.trimToLimit()
}

// recordFailure counts a failed opening and returns how long to hold back; zero when another goroutine holds back already.
func (p *Pool[C]) recordFailure(least time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	p.failures++
	if p.backingOff {
		return 0
	}
	p.backingOff = true
	p.backOff = max(min(max(2*p.backOff, minBackOff), maxBackOff), least)
	return p.backOff/2 + time.Duration(p.Jitter()*float64(p.backOff/2))
}

// waitBackOff waits for the back-off to pass.
func (p *Pool[C]) waitBackOff(ctx context.Context, wait time.Duration) {
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.backingOff = false
	p.signal()
}

// closeOne closes one connection, even after the context has ended.
func (p *Pool[C]) closeOne(ctx context.Context, conn C, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	_ = p.Close(limited, conn) // what the instance did not hear of, it drops by itself
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
}
