package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/budget"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
)

const (
	dialTimeout    = 150 * time.Millisecond // several round trips between regions
	retreatTime    = time.Second            // for which a host that could not be reached is not tried again
	idleTimeout    = 20 * time.Second       // after which a stream without calls is closed
	keepAliveTime  = 2 * time.Second        // between two TCP keep-alive probes
	keepAliveCount = 2                      // unanswered probes after which a stream is dropped
	probeLimit     = 500 * time.Millisecond // for the reply to a probe of a stream, after which it is dropped

	responseDivisor  = 8               // a response time moves the smoothed one by its distance divided by this
	responseLifetime = 5 * time.Second // after which a smoothed response time is unknown, so that a host that was slow is called again
)

// keepAlive finds streams whose other host is gone, at both ends: a holder would keep the transactions of one that is.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveCount}

// probeSession is the number of no session; a call of it is refused at once, which proves that the stream works.
const probeSession SessionID = 0

// Errors of a call without a reply.
var (
	// ErrNotSent is returned when the call has not been sent, so that nothing of it has run.
	ErrNotSent = errors.New("relay: the host can't be reached")
	// ErrLost is returned when the call was sent and the stream ended, or the time was over, before a reply.
	ErrLost = errors.New("relay: no reply")
)

// Client passes calls on to other hosts, over one stream to each.
type Client struct {
	// Host is this host.
	Host model.HostID
	// Key returns the hosts' shared key, or nil while it is not known.
	Key func() *mesh.Key
	// Packer packs calls; nil for none.
	Packer *mesh.Packer
	// Memory is the budget for replies; nil for none.
	Memory *budget.Budget

	sessions atomic.Uint64
	mutex    sync.Mutex
	peers    map[model.Address]*peer
	closed   bool
	open     sync.WaitGroup // goroutines that read from streams
}

// peer is another host to which calls are passed on.
type peer struct {
	mutex      sync.Mutex // held while a stream is opened
	current    atomic.Pointer[clientStream]
	connecting atomic.Bool  // a stream is being opened in the background
	inFlight   atomic.Int64 // calls without a reply
	responses  responseTime
	retreatEnd atomic.Int64 // time until which the host is not tried again, in nanoseconds since the Unix epoch
}

// responseTime is the smoothed time to a reply. It is safe for concurrent use.
type responseTime struct {
	mutex      sync.Mutex
	mean       time.Duration
	observedAt time.Time
}

// observe adds the time that a call took.
func (r *responseTime) observe(now time.Time, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.observedAt) > responseLifetime {
		r.mean = took
	} else {
		r.mean += (took - r.mean) / responseDivisor
	}
	r.observedAt = now
}

// at returns the smoothed time, or zero when it is not known.
func (r *responseTime) at(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.observedAt) > responseLifetime {
		return 0
	}
	return r.mean
}

// clientStream is the calling end of a stream.
type clientStream struct {
	*stream
	mutex   sync.Mutex
	waiting map[SessionID]chan Reply // calls without a reply by session; nil once the stream has ended
	open    map[SessionID]struct{}   // sessions that the other host serves between calls
	probing atomic.Bool              // a probe has no reply yet
}

// NewClient returns a client without streams; its exported fields have to be set before use.
func NewClient() *Client {
	return &Client{Key: func() *mesh.Key { return nil }, peers: make(map[model.Address]*peer)}
}

// NewSession returns the number of a new session.
func (c *Client) NewSession() SessionID { return SessionID(c.sessions.Add(1)) }

// State is what a client knows of another host.
type State struct {
	Reachable bool          // it was reached lately, or has not been tried lately
	Connected bool          // there is a stream to it
	InFlight  int           // calls without a reply
	Response  time.Duration // smoothed time to a reply of an instance; zero when unknown
}

// State returns what the client knows of the host at the address.
func (c *Client) State(now time.Time, address model.Address) State {
	c.mutex.Lock()
	p, found := c.peers[address]
	closed := c.closed
	c.mutex.Unlock()
	if closed || !found {
		return State{Reachable: !closed}
	}
	return State{
		Reachable: now.UnixNano() >= p.retreatEnd.Load(),
		Connected: p.current.Load() != nil,
		InFlight:  int(p.inFlight.Load()),
		Response:  p.responses.at(now),
	}
}

// Connect opens a stream to a host in the background, unless there is one, one is being opened, or the host could not be reached a moment
// ago.
func (c *Client) Connect(address model.Address) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.peer(address)
	if c.closed || p.current.Load() != nil || time.Now().UnixNano() < p.retreatEnd.Load() || p.connecting.Swap(true) {
		return
	}
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		defer p.connecting.Store(false)
		_, _ = c.streamTo(context.Background(), address) // a failure keeps calls from the host for a while
	}()
}

// Call passes a call on and waits for its reply until the context ends. Its error is or wraps ErrNotSent or ErrLost.
func (c *Client) Call(ctx context.Context, address model.Address, call *Call) (reply Reply, err error) {
	body, err := encodeCall(call)
	if err != nil {
		return reply, errors.Join(ErrNotSent, err)
	}
	c.mutex.Lock()
	p := c.peer(address)
	c.mutex.Unlock()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	s, err := c.streamTo(ctx, address)
	if err != nil {
		return reply, errors.Join(ErrNotSent, err)
	}
	replies := make(chan Reply, 1)
	if !s.expect(call.Session, replies) {
		return reply, ErrNotSent
	}
	defer s.abandon(call.Session, replies)
	sent := time.Now()
	if err := s.write(body); errors.Is(err, errTooLarge) {
		return reply, errors.Join(ErrNotSent, err)
	} else if err != nil {
		return reply, errors.Join(ErrLost, err)
	}
	s.note(call)
	select {
	case reply, open := <-replies:
		if !open {
			return reply, ErrLost
		}
		if reply.Refusal == nil {
			p.responses.observe(time.Now(), time.Since(sent))
		}
		return reply, nil
	case <-ctx.Done():
		p.responses.observe(time.Now(), time.Since(sent)) // at least
		if s.heard.Load() < sent.UnixNano() {
			c.probe(address, s)
		}
		return reply, errors.Join(ErrLost, ctx.Err())
	}
}

// probe drops a stream that doesn't respond. A call without a reply alone doesn't tell, as it may take long, and other sessions of the
// stream would be lost with it.
func (c *Client) probe(address model.Address, s *clientStream) {
	if s.probing.Swap(true) {
		return
	}
	asked := time.Now().UnixNano()
	body, err := encodeCall(&Call{Session: probeSession})
	if err != nil || s.write(body) != nil {
		c.retreat(address)
		return
	}
	time.AfterFunc(probeLimit, func() {
		s.probing.Store(false)
		if s.heard.Load() < asked {
			c.retreat(address)
			_ = s.conn.Close() // ends the goroutine that reads
		}
	})
}

// End ends a session at the host that serves it, without waiting.
func (c *Client) End(address model.Address, session SessionID) {
	c.mutex.Lock()
	p := c.peers[address]
	c.mutex.Unlock()
	if p == nil {
		return
	}
	s := p.current.Load()
	if s == nil {
		return // the other host ends the sessions of a stream with it
	}
	call := &Call{Session: session, End: true}
	if body, err := encodeCall(call); err == nil {
		_ = s.write(body) // fails when the stream has ended, and the session with it
	}
	s.note(call)
}

// streamTo returns the stream to a host, which it opens if there is none.
func (c *Client) streamTo(ctx context.Context, address model.Address) (_ *clientStream, err error) {
	c.mutex.Lock()
	p := c.peer(address)
	c.mutex.Unlock()
	if s := p.current.Load(); s != nil {
		return s, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s := p.current.Load(); s != nil {
		return s, nil
	}
	if time.Now().UnixNano() < p.retreatEnd.Load() {
		return nil, errRetreat
	}
	s, err := c.openStream(ctx, address)
	if err != nil {
		c.retreat(address)
		return nil, fmt.Errorf("relay: open stream to %s: %w", address, err)
	}
	if !c.startReading(p, s) {
		return nil, errors.Join(net.ErrClosed, s.conn.Close())
	}
	return s, nil
}

// peer returns the state of the host at the address; the caller holds the lock.
func (c *Client) peer(address model.Address) *peer {
	p, found := c.peers[address]
	if !found {
		p = &peer{}
		c.peers[address] = p
	}
	return p
}

// errRetreat is returned for a host that could not be reached a moment ago.
var errRetreat = errors.New("the host could not be reached a moment ago")

// retreat keeps calls from a host for a while.
func (c *Client) retreat(address model.Address) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, found := c.peers[address]; found {
		p.retreatEnd.Store(time.Now().Add(retreatTime).UnixNano())
	}
}

// openStream opens a stream to a host.
func (c *Client) openStream(ctx context.Context, address model.Address) (_ *clientStream, err error) {
	key := c.Key()
	if key == nil {
		return nil, mesh.ErrInvalidMAC
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(dialCtx, "tcp4", string(address))
	if err != nil {
		return nil, err
	}
	s := &clientStream{stream: newStream(conn), waiting: make(map[SessionID]chan Reply), open: make(map[SessionID]struct{})}
	s.packer, s.memory, s.use = c.Packer, c.Memory, budget.Answers
	limit, _ := dialCtx.Deadline()
	if err := s.greet(key, c.Host, limit); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return s, nil
}

// startReading makes the stream the current one to the host and starts its goroutine; it returns false after Close.
func (c *Client) startReading(p *peer, s *clientStream) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	p.current.Store(s)
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		s.receive()
		p.current.CompareAndSwap(s, nil)
		s.fail()
	}()
	return true
}

// Close closes all streams and waits for their goroutines.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	for _, p := range c.peers {
		if s := p.current.Load(); s != nil {
			_ = s.conn.Close()
		}
	}
	c.mutex.Unlock()
	c.open.Wait()
}

// receive passes replies on until the stream ends or has been idle for too long.
func (s *clientStream) receive() {
	defer func() { _ = s.conn.Close() }()
	for {
		if err := s.await(idleTimeout); err != nil {
			return // also when idle: the next call opens another stream
		}
		m, err := s.read()
		if err != nil {
			return
		}
		reply := Reply{Session: m.refused, Refusal: model.OutcomeUnknown("the host has no memory for the reply")}
		if m.refused == 0 {
			if reply, err = decodeReply(m.body); err != nil {
				closeRoom(m.room)
				return
			}
			m.shrink()
			reply.Response.Room = m.room
		}
		if reply.Refusal != nil {
			reply.Response.Release() // a refusal has no rows
		}
		if !s.deliver(reply) {
			reply.Response.Release()
		}
	}
}

// await waits for the first byte of the next reply; it returns an error if the stream ends, or is idle for the given time.
func (s *clientStream) await(idle time.Duration) error {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
		_, err := s.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && s.inUse() {
			continue
		}
		if err != nil {
			return err
		}
		return s.conn.SetReadDeadline(time.Time{})
	}
}

// inUse reports whether any session is open on the stream or waits for a reply.
func (s *clientStream) inUse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.waiting)+len(s.open) > 0
}

// note records whether the session of a call goes on after it.
func (s *clientStream) note(call *Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if call.Last || call.End {
		delete(s.open, call.Session)
		return
	}
	s.open[call.Session] = struct{}{}
}

// expect registers a call; it returns false if the stream has ended.
func (s *clientStream) expect(session SessionID, replies chan Reply) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == nil {
		return false
	}
	s.waiting[session] = replies
	return true
}

// deliver hands a reply to the call that waits for it, and reports whether one does.
func (s *clientStream) deliver(reply Reply) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	replies := s.waiting[reply.Session]
	delete(s.waiting, reply.Session)
	if replies != nil {
		replies <- reply // has room for one
	}
	return replies != nil
}

// abandon removes a call, and releases a reply that came too late for it.
func (s *clientStream) abandon(session SessionID, replies chan Reply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, session)
	select {
	case reply := <-replies:
		reply.Response.Release()
	default:
	}
}

// fail ends the calls that have no reply.
func (s *clientStream) fail() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, replies := range s.waiting {
		close(replies)
	}
	s.waiting = nil
}
