package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
)

const (
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
	// Serve serves one session; it has to return when Calls is closed.
	Serve func(ctx context.Context, session Session)
	// Logger receives events.
	Logger log.Interface
}

// NewServer returns a server; its exported fields have to be set before Run.
func NewServer() *Server { return &Server{Key: func() *mesh.Key { return nil }} }

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
	listener, err := config.Listen(ctx, "tcp4", string(s.Address))
	if err != nil {
		return err
	}
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
			if open >= streamLimit {
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
	sessions map[SessionID]chan Call
	ended    chan SessionID // receives each session at its end
}

// serveStream serves the sessions of one stream until it ends.
func (s *Server) serveStream(ctx context.Context, conn net.Conn) (err error) {
	defer func() { err = errors.Join(err, conn.Close()) }()
	key := s.Key()
	if key == nil {
		return mesh.ErrInvalidMAC
	}
	accepted := newStream(conn)
	accepted.packer = s.Packer
	if err := accepted.accept(key, s.Host); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	t := &serverStream{stream: accepted, server: s, sessions: make(map[SessionID]chan Call), ended: make(chan SessionID)}
	received := make(chan Call)
	readEnded := make(chan error, 1)
	go t.receive(ctx, received, readEnded)
	for received != nil {
		select {
		case call := <-received:
			t.dispatch(ctx, call)
		case id := <-t.ended:
			t.refuseRest(id)
			delete(t.sessions, id)
		case err = <-readEnded:
			received = nil
		}
	}
	for _, calls := range t.sessions {
		close(calls)
	}
	for len(t.sessions) > 0 {
		delete(t.sessions, <-t.ended)
	}
	return err
}

// receive passes calls on until the stream ends, then sends its error on done.
func (t *serverStream) receive(ctx context.Context, received chan<- Call, done chan<- error) {
	for {
		body, err := t.read()
		if err != nil {
			done <- err
			return
		}
		call, err := decodeCall(body)
		if err != nil {
			done <- err
			return
		}
		select {
		case received <- call:
		case <-ctx.Done():
			done <- ctx.Err()
			return
		}
	}
}

// dispatch hands a call to its session, which begins with its first call.
func (t *serverStream) dispatch(ctx context.Context, call Call) {
	calls, found := t.sessions[call.Session]
	switch {
	case call.End && found:
		delete(t.sessions, call.Session)
		close(calls)
		t.sessions[call.Session] = make(chan Call) // until its goroutine reports the end
		return
	case call.End:
		return
	case !found && call.Opening == nil:
		t.refuse(call, "the session has ended here")
		return
	case !found && len(t.sessions) >= sessionLimit:
		t.refuse(call, "the host has as many passed-on sessions as it may")
		return
	case !found:
		calls = make(chan Call, 1)
		t.sessions[call.Session] = calls
		go t.serve(ctx, call.Session, Session{Opening: *call.Opening, Calls: calls, Reply: t.replier(call.Session)})
	}
	select {
	case calls <- call:
	default:
		t.refuse(call, "the session has a call in progress")
	}
}

// serve serves one session and reports its end.
func (t *serverStream) serve(ctx context.Context, id SessionID, session Session) {
	t.server.Serve(ctx, session)
	t.ended <- id
}

// refuseRest refuses the call that reached a session at its end.
func (t *serverStream) refuseRest(id SessionID) {
	select {
	case call, open := <-t.sessions[id]:
		if open {
			t.refuse(call, "the session has ended here")
		}
	default:
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
	_ = t.replier(call.Session)(&Reply{Refusal: model.Refuse(model.CodeStopping, "%s", reason)}) // fails when the stream has ended
}
