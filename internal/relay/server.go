package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/budget"
	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/limit"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
)

const (
	pendingLimit     = 128                   // connections whose host has not proved that it knows the key; 58 hosts may connect at once
	streamLimit      = 512                   // streams of other hosts
	sessionLimit     = 1024                  // sessions of one stream
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept
)

// Session is a session that another host passes on.
type Session struct {
	// Opening is the state with which it begins.
	Opening Opening
	// Calls receives the requests; it is closed when the session ends.
	Calls <-chan Call
	// Reply sends the reply to the newest call.
	Reply func(reply *Reply) error
}

// Server serves sessions that other hosts pass on.
type Server struct {
	// Host is this host.
	Host model.HostID
	// Address is where it listens.
	Address model.Address
	// Key returns the hosts' shared key, or nil while it is not known.
	Key func() *mesh.Key
	// Packer packs replies; nil for none.
	Packer *mesh.Packer
	// Memory is the budget for calls; nil for none.
	Memory *budget.Budget
	// StreamLimit is the greatest number of streams of other hosts.
	StreamLimit int
	// PendingLimit is the greatest number of connections whose host has not proved that it knows the key; the oldest gives way.
	PendingLimit int
	// Admit reports whether a host may have one more session, which Leave ends.
	Admit func(host model.HostID) bool
	// Leave is called at the end of each session that was admitted.
	Leave func(host model.HostID)
	// Serve serves one session; it has to return when Calls is closed.
	Serve func(ctx context.Context, session Session)
	// Logger receives events.
	Logger log.Interface
}

// NewServer returns a server; its exported fields have to be set before Run.
func NewServer() *Server {
	return &Server{
		Key:          func() *mesh.Key { return nil },
		StreamLimit:  streamLimit,
		PendingLimit: pendingLimit,
		Admit:        func(model.HostID) bool { return true },
		Leave:        func(model.HostID) {},
	}
}

// Run serves streams until the context ends, then sends its result on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	done <- s.run(ctx)
}

// run accepts streams and waits for their end.
func (s *Server) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("relay: %w", err)
		}
	}()
	if s.Address == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	inner, err := config.Listen(ctx, "tcp4", string(s.Address))
	if err != nil {
		return err
	}
	listener := limit.NewRotatingListener(inner)
	listener.Limit = s.PendingLimit
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	ended := make(chan error)
	open := 0
	accepted := make(chan net.Conn)
	failed := make(chan error, 1)
	go accept(ctx, listener, accepted, failed)
	for accepted != nil || open > 0 {
		select {
		case conn := <-accepted:
			if open >= s.StreamLimit+s.PendingLimit {
				_ = conn.Close() // nothing was read
				continue
			}
			open++
			go func() { ended <- s.serveStream(ctx, conn) }()
		case <-failed:
			accepted, failed = nil, nil
		case err := <-ended:
			open--
			if errors.Is(err, mesh.ErrInvalidMAC) {
				event.DatagramRefused(s.Logger, "relay stream", err)
			}
		}
	}
	return ctx.Err()
}

// accept sends accepted connections until the listener is closed, then sends its error on done.
func accept(ctx context.Context, listener net.Listener, accepted chan<- net.Conn, done chan<- error) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			done <- err
			return
		}
		if err != nil {
			_ = clock.Pause(ctx, acceptRetryDelay) // transient, such as running out of file descriptors
			continue
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			_ = conn.Close()
			done <- ctx.Err()
			return
		}
	}
}

// serverStream is the serving end of a stream.
type serverStream struct {
	*stream
	server   *Server
	sessions map[SessionID]*serverSession
	ended    chan SessionID // receives each session at its end
}

// serverSession is a session as the goroutine that dispatches calls sees it.
type serverSession struct {
	calls chan Call // closed once the session has ended at the other host
	over  bool      // calls is closed

	mutex sync.Mutex
	rooms []*budget.Account // of the calls without a reply, the oldest first
}

// begin records a call that was handed to the session.
func (s *serverSession) begin(call Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rooms = append(s.rooms, call.room)
}

// finish gives the memory of the oldest call without a reply back.
func (s *serverSession) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.rooms) > 0 {
		closeRoom(s.rooms[0])
		s.rooms = s.rooms[1:]
	}
}

// close ends the session's calls.
func (s *serverSession) close() {
	if !s.over {
		s.over = true
		close(s.calls)
	}
}

// serveStream serves the sessions of one stream until it ends.
func (s *Server) serveStream(ctx context.Context, conn net.Conn) (err error) {
	defer func() { err = errors.Join(err, conn.Close()) }()
	key := s.Key()
	if key == nil {
		return mesh.ErrInvalidMAC
	}
	accepted := newStream(conn)
	accepted.packer, accepted.memory, accepted.use = s.Packer, s.Memory, budget.Messages
	if err := accepted.accept(key, s.Host); err != nil {
		return err
	}
	limit.Exempt(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	t := &serverStream{stream: accepted, server: s, sessions: make(map[SessionID]*serverSession), ended: make(chan SessionID)}
	received := make(chan Call)
	readEnded := make(chan error, 1)
	go t.receive(ctx, received, readEnded)
	for received != nil {
		select {
		case call := <-received:
			t.dispatch(ctx, call)
		case id := <-t.ended:
			t.endSession(id)
		case err = <-readEnded:
			received = nil
		}
	}
	for _, session := range t.sessions {
		session.close()
	}
	for len(t.sessions) > 0 {
		t.endSession(<-t.ended)
	}
	return err
}

// receive passes calls on until the stream ends, then sends its error on done.
func (t *serverStream) receive(ctx context.Context, received chan<- Call, done chan<- error) {
	for {
		m, err := t.read()
		if err != nil {
			done <- err
			return
		}
		if m.refused != 0 {
			t.refuse(Call{Session: m.refused}, "the host has no memory left for it")
			continue
		}
		call, err := decodeCall(m.body)
		m.shrink()
		call.room = m.room
		if err != nil {
			closeRoom(call.room)
			done <- err
			return
		}
		select {
		case received <- call:
		case <-ctx.Done():
			closeRoom(call.room)
			done <- ctx.Err()
			return
		}
	}
}

// dispatch hands a call to its session, which begins with its first call.
func (t *serverStream) dispatch(ctx context.Context, call Call) {
	session, found := t.sessions[call.Session]
	switch {
	case call.End:
		closeRoom(call.room)
		if found {
			session.close()
		}
		return
	case found && session.over, !found && call.Opening == nil:
		t.refuse(call, "the session has ended here")
		return
	case !found && (len(t.sessions) >= sessionLimit || !t.server.Admit(t.peer)):
		t.refuse(call, "the host has as many passed-on sessions as it may")
		return
	case !found:
		session = &serverSession{calls: make(chan Call, 1)}
		t.sessions[call.Session] = session
		go t.serve(ctx, call.Session, Session{Opening: *call.Opening, Calls: session.calls, Reply: t.sessionReplier(call.Session, session)})
	}
	if len(session.calls) == cap(session.calls) {
		t.refuse(call, "the session has a call in progress")
		return
	}
	session.begin(call)
	session.calls <- call // has room, since only this goroutine sends
}

// serve serves one session and reports its end.
func (t *serverStream) serve(ctx context.Context, id SessionID, session Session) {
	t.server.Serve(ctx, session)
	t.ended <- id
}

// endSession refuses the call that reached a session at its end, and removes the session.
func (t *serverStream) endSession(id SessionID) {
	session := t.sessions[id]
	select {
	case call, open := <-session.calls:
		if open {
			t.refuse(call, "the session has ended here")
		}
	default:
	}
	for range session.rooms {
		session.finish()
	}
	delete(t.sessions, id)
	t.server.Leave(t.peer)
}

// sessionReplier returns the function that sends the replies of a session, and gives the memory of its calls back.
func (t *serverStream) sessionReplier(id SessionID, session *serverSession) func(reply *Reply) error {
	reply := t.replier(id)
	return func(r *Reply) error {
		defer session.finish()
		return reply(r)
	}
}

// replier returns the function that sends the replies of a session.
func (t *serverStream) replier(id SessionID) func(reply *Reply) error {
	return func(reply *Reply) error {
		reply.Session = id
		body, err := encodeReply(reply)
		if err != nil {
			return err
		}
		err = t.write(body)
		if !errors.Is(err, errTooLarge) {
			return err
		}
		body, err = encodeReply(&Reply{Session: id, Refusal: model.OutcomeUnknown("the response is too large to be passed on")})
		if err != nil {
			return err
		}
		return t.write(body)
	}
}

// refuse replies that a call has not run.
func (t *serverStream) refuse(call Call, reason string) {
	closeRoom(call.room)
	_ = t.replier(call.Session)(&Reply{Refusal: model.Refuse(model.CodeStopping, "%s", reason)}) // fails when the stream has ended
}
