package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/budget"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// testLimit bounds each wait of a test; no result depends on how long it takes.
const testLimit = 10 * time.Second

// testKey returns a key.
func testKey(first byte) *mesh.Key { return &mesh.Key{first} }

// startServer starts a server on a loopback address and returns the address and a function that stops it.
func startServer(t *testing.T, serve func(ctx context.Context, session Session)) (model.Address, func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := model.Address(listener.Addr().String())
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	server := NewServer()
	server.Host, server.Address, server.Serve = "holder", address, serve
	server.Key = func() *mesh.Key { return testKey(1) }
	server.Logger = &log.Logger{Handler: discard.New()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go server.Run(ctx, done)
	stop := func() {
		cancel()
		select {
		case <-done:
		case <-time.After(testLimit):
			t.Error("the server did not end")
		}
	}
	waitFor(t, "the server listens", func() bool {
		conn, err := net.Dial("tcp4", string(address))
		return err == nil && conn.Close() == nil
	})
	return address, stop
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(testLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// startClient returns a client with the key, which is closed at the end of the test.
func startClient(t *testing.T, key *mesh.Key) *Client {
	t.Helper()
	client := NewClient()
	client.Host, client.Key = "caller", func() *mesh.Key { return key }
	t.Cleanup(client.Close)
	return client
}

// newCall returns the first call of a new session.
func newCall(client *Client, text string) *Call {
	return &Call{Session: client.NewSession(), Opening: &Opening{Kind: "desk"}, Request: statement.Request{Statement: statement.Statement{Text: text}}}
}

// answer serves a session by what the text of each call says.
func answer(ctx context.Context, session Session) {
	for call := range session.Calls {
		switch call.Request.Text {
		case "silent":
		case "large":
			_ = session.Reply(&Reply{Response: statement.Response{Rows: [][]byte{bytes.Repeat([]byte("x"), messageLimit)}}})
		case "leave":
			return
		default:
			_ = session.Reply(&Reply{Response: statement.Response{Text: call.Request.Text}})
		}
	}
}

// TestCall guards against a call whose fate is told wrongly, and against one that takes the calls of other sessions with it.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		key     byte
		text    string
		limit   time.Duration
		want    error
		refused bool
		kept    bool // the stream goes on
	}{
		"answered":                   {key: 1, text: "a", limit: testLimit, kept: true},
		"wrong key":                  {key: 2, text: "a", limit: testLimit, want: ErrNotSent},
		"not answered in time":       {key: 1, text: "silent", limit: 50 * time.Millisecond, want: ErrLost, kept: true},
		"too large to be sent":       {key: 1, text: strings.Repeat("x", messageLimit+1), limit: testLimit, want: ErrNotSent, kept: true},
		"response too large to send": {key: 1, text: "large", limit: testLimit, refused: true, kept: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, stop := startServer(t, answer)
			defer stop()
			client := startClient(t, testKey(test.key))
			resting := newCall(client, "resting")
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			_, restErr := client.Call(ctx, address, resting)
			if got := restErr == nil; got != test.kept {
				t.Fatalf("got %v for the resting session, want success %v", restErr, test.kept)
			}
			callCtx, cancelCall := context.WithTimeout(ctx, test.limit)
			defer cancelCall()
			reply, err := client.Call(callCtx, address, newCall(client, test.text))
			if !errors.Is(err, test.want) || (err != nil) != (test.want != nil) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if got := reply.Refusal != nil; got != test.refused || (got && reply.Refusal.NotRun) {
				t.Errorf("got refusal %+v, want one %v, which doesn't say that nothing has run", reply.Refusal, test.refused)
			}
			if !test.kept {
				return
			}
			time.Sleep(2 * probeLimit)
			reply, err = client.Call(ctx, address, &Call{Session: resting.Session, Request: statement.Request{Statement: statement.Statement{Text: "b"}}})
			if err != nil || reply.Refusal != nil || reply.Response.Text != "b" {
				t.Errorf("got %+v, %v of the resting session, want its response", reply, err)
			}
		})
	}
}

// TestCallOfAnEndedSession guards against a call that waits for a session that will not answer, and a session that begins anew in the
// middle of a transaction after its stream was lost.
func TestCallOfAnEndedSession(t *testing.T) {
	tests := map[string]func(client *Client, address model.Address, id SessionID){
		"ended by the caller": func(client *Client, address model.Address, id SessionID) { client.End(address, id) },
		"stream lost": func(client *Client, address model.Address, _ SessionID) {
			s := client.peers[address].current.Load()
			_ = s.conn.Close()
			for client.peers[address].current.Load() == s {
				time.Sleep(time.Millisecond)
			}
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			address, stop := startServer(t, answer)
			defer stop()
			client := startClient(t, testKey(1))
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			first := newCall(client, "a")
			if _, err := client.Call(ctx, address, first); err != nil {
				t.Fatal(err)
			}
			end(client, address, first.Session)
			reply, err := client.Call(ctx, address, &Call{Session: first.Session})
			if err != nil || reply.Refusal == nil || !reply.Refusal.NotRun {
				t.Errorf("got %+v, %v, want a refusal as not run", reply, err)
			}
		})
	}
}

// TestCallBehindTheEnd guards against a call that reaches a session while it ends by itself, which got no reply.
func TestCallBehindTheEnd(t *testing.T) {
	for range 50 {
		leaving := make(chan struct{})
		address, stop := startServer(t, func(ctx context.Context, session Session) {
			<-session.Calls
			_ = session.Reply(&Reply{})
			<-leaving // returns without reading the next call
		})
		client := startClient(t, testKey(1))
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		first := newCall(client, "a")
		if _, err := client.Call(ctx, address, first); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Millisecond, func() { close(leaving) })
		reply, err := client.Call(ctx, address, &Call{Session: first.Session})
		cancel()
		stop()
		if err != nil || reply.Refusal == nil || !reply.Refusal.NotRun {
			t.Fatalf("got %+v, %v, want a refusal as not run", reply, err)
		}
	}
}

// TestLostStream guards against calls that are told as not run although they were sent.
func TestLostStream(t *testing.T) {
	received := make(chan struct{}, 1)
	address, stop := startServer(t, func(ctx context.Context, session Session) {
		<-session.Calls
		received <- struct{}{}
		<-session.Calls
	})
	client := startClient(t, testKey(1))
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), address, newCall(client, "a"))
		result <- err
	}()
	<-received
	stop()
	if got := <-result; !errors.Is(got, ErrLost) {
		t.Errorf("got %v after the call was sent, want %v", got, ErrLost)
	}
	if _, got := client.Call(context.Background(), address, newCall(client, "b")); !errors.Is(got, ErrNotSent) {
		t.Errorf("got %v before the call was sent, want %v", got, ErrNotSent)
	}
}

// TestSilentHolder guards against a stream that has gone silent without a reset and takes each further call.
func TestSilentHolder(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			s := newStream(conn)
			if err = s.accept(testKey(1), "holder"); err == nil {
				_, err = io.Copy(io.Discard, conn) // answers nothing
			}
		}
		ended <- err
	}()
	client := startClient(t, testKey(1))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Call(ctx, model.Address(listener.Addr().String()), newCall(client, "a")); !errors.Is(err, ErrLost) {
		t.Errorf("got %v, want %v", err, ErrLost)
	}
	select {
	case err = <-ended:
	case <-time.After(testLimit):
		t.Error("the silent stream was kept")
	}
	if err := errors.Join(err, listener.Close()); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Log(err)
	}
}

// wire returns both ends of a stream whose bytes the test may change, and the bytes that the calling side sent first.
func wire(t *testing.T) (caller, holder *stream, raw net.Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { _ = errors.Join(a.Close(), b.Close()) })
	caller, holder = newStream(a), newStream(b)
	accepted := make(chan error, 1)
	go func() { accepted <- holder.accept(testKey(1), "holder") }()
	if err := errors.Join(caller.greet(testKey(1), "caller", time.Now().Add(testLimit)), <-accepted); err != nil {
		t.Fatal(err)
	}
	return caller, holder, a
}

// TestForgedMessages guards against messages that are taken although they were changed, replayed, reordered, cut or are too large.
func TestForgedMessages(t *testing.T) {
	frame := func(s *stream, number uint64, body string) []byte {
		out := []byte{0, 0, 0, byte(len(body))}
		return append(append(out, s.sealKey.MAC(number, []byte(body))...), body...)
	}
	tests := map[string]func(caller, holder *stream) []byte{
		"changed": func(caller, _ *stream) []byte {
			message := frame(caller, 1, "one")
			message[len(message)-1]++
			return message
		},
		"replayed":            func(caller, _ *stream) []byte { return append(frame(caller, 1, "one"), frame(caller, 1, "one")...) },
		"reordered":           func(caller, _ *stream) []byte { return frame(caller, 2, "two") },
		"of the other side":   func(_, holder *stream) []byte { return frame(holder, 1, "one") },
		"cut":                 func(caller, _ *stream) []byte { return frame(caller, 1, "one")[:headerSize+1] },
		"larger than allowed": func(caller, _ *stream) []byte { return append([]byte{0xff}, frame(caller, 1, "one")[1:]...) },
	}
	for name, forge := range tests {
		t.Run(name, func(t *testing.T) {
			caller, holder, raw := wire(t)
			message := forge(caller, holder)
			go func() {
				_, _ = raw.Write(message) // fails when the other side has refused the rest
				_ = raw.Close()
			}()
			var err error
			for read := 0; err == nil && read < 2; read++ {
				_, err = holder.read()
			}
			if err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// TestReplayedGreeting guards against recorded first messages, each of which took a stream and the memory of a large message for good.
func TestReplayedGreeting(t *testing.T) {
	a, b := net.Pipe()
	recorded := make(chan []byte, 1)
	go func() {
		buffer := make([]byte, 1024)
		n, _ := b.Read(buffer)
		recorded <- buffer[:n]
		_ = b.Close()
	}()
	if err := newStream(a).greet(testKey(1), "caller", time.Now().Add(testLimit)); err == nil {
		t.Fatal("got no error, want one")
	}
	c, d := net.Pipe()
	defer func() { _ = errors.Join(c.Close(), d.Close()) }()
	go func() {
		_, _ = c.Write(<-recorded)
		_, _ = io.Copy(io.Discard, c)
	}()
	if err := newStream(d).accept(testKey(1), "holder"); err == nil {
		t.Error("got a stream for a recorded greeting, want none")
	}
}

// TestPeerThatDoesNotRead guards against messages that each wait for a host that doesn't read, behind one of which a part was sent.
func TestPeerThatDoesNotRead(t *testing.T) {
	caller, _, _ := wire(t)
	if err := caller.write([]byte("a")); err == nil {
		t.Fatal("got no error, want one")
	}
	begun := time.Now()
	if err := caller.write([]byte("b")); err == nil || time.Since(begun) > writeTimeout/2 {
		t.Errorf("got %v after %v, want an error at once", err, time.Since(begun))
	}
}

// TestIdleStream guards against a stream that is closed as idle while a transaction rests on it, and against idle ones that are kept.
func TestIdleStream(t *testing.T) {
	tests := map[string]struct {
		calls []*Call
		kept  bool
	}{
		"no session":        {},
		"open session":      {calls: []*Call{{Session: 1}}, kept: true},
		"session has ended": {calls: []*Call{{Session: 1}, {Session: 1, End: true}}},
		"last call":         {calls: []*Call{{Session: 1, Last: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, holder, _ := wire(t)
			s := &clientStream{stream: caller, waiting: make(map[SessionID]chan Reply), open: make(map[SessionID]struct{})}
			for _, call := range test.calls {
				s.note(call)
			}
			written := make(chan error, 1)
			time.AfterFunc(100*time.Millisecond, func() { written <- holder.write([]byte("x")) })
			if err := s.await(20 * time.Millisecond); (err == nil) != test.kept {
				t.Errorf("got %v, want the stream kept %v", err, test.kept)
			}
			if test.kept {
				if got, err := s.read(); err != nil || string(got.body) != "x" {
					t.Errorf("got %q, %v, want the message after the wait", got.body, err)
				}
			}
			_ = caller.conn.Close()
			<-written
		})
	}
}

// TestSessionLimit guards against sessions without bound, and against a limit that stays reached after what reached it ended.
func TestSessionLimit(t *testing.T) {
	address, stop := startServer(t, answer)
	defer stop()
	client := startClient(t, testKey(1))
	succeeds := func() bool {
		reply, err := client.Call(context.Background(), address, newCall(client, "a"))
		if err != nil && !errors.Is(err, ErrNotSent) || reply.Refusal != nil && !reply.Refusal.NotRun {
			t.Fatalf("got %+v, %v, want a response or to be told that nothing has run", reply, err)
		}
		return err == nil && reply.Refusal == nil
	}
	var last *Call
	for range sessionLimit {
		last = newCall(client, "a")
		if reply, err := client.Call(context.Background(), address, last); err != nil || reply.Refusal != nil {
			t.Fatalf("got %+v, %v within the limit, want a response", reply, err)
		}
	}
	if succeeds() {
		t.Error("got a response beyond the limit, want none")
	}
	client.End(address, last.Session)
	waitFor(t, "a call is answered again", succeeds)
}

// TestStrangers guards against connections without a greeting that keep hosts out, or stay open in numbers.
func TestStrangers(t *testing.T) {
	address, stop := startServer(t, answer)
	defer stop()
	var conns []net.Conn
	for range 2 * pendingLimit {
		conn, err := net.Dial("tcp4", string(address))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	client := startClient(t, testKey(1))
	reply, err := client.Call(context.Background(), address, newCall(client, "a"))
	if err != nil || reply.Refusal != nil {
		t.Errorf("got %+v, %v beside connections without a greeting, want a response", reply, err)
	}
	if _, err := conns[0].Read(make([]byte, 1)); err == nil {
		t.Error("got the oldest connection open, want it closed")
	}
}

// TestNoMemory guards against calls and replies that are held without memory for them, and against a stream that ends for one of them.
func TestNoMemory(t *testing.T) {
	tests := map[string]struct {
		text       string
		ofReceiver model.Bytes // limit of the budget
		refused    bool
	}{
		"small":               {text: "a", ofReceiver: 1},
		"within the limit":    {text: strings.Repeat("x", 100<<10), ofReceiver: 1 << 20},
		"beyond the limit":    {text: strings.Repeat("x", 500<<10), ofReceiver: 1 << 20, refused: true},
		"beyond the reserve":  {text: strings.Repeat("x", 10<<10), ofReceiver: 1 << 10, refused: true},
		"packed, no room for": {text: strings.Repeat("x", 30<<10), ofReceiver: 1 << 10, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, holder, _ := wire(t)
			caller.packer = &mesh.Packer{}
			holder.memory, holder.use = budget.New(), budget.Messages
			holder.memory.Limit = test.ofReceiver
			for session := SessionID(7); session <= 8; session++ {
				body, err := encodeCall(&Call{Session: session, Request: statement.Request{Statement: statement.Statement{Text: test.text}}})
				if err != nil {
					t.Fatal(err)
				}
				written := make(chan error, 1)
				go func() { written <- caller.write(body) }()
				m, err := holder.read()
				if err := errors.Join(err, <-written); err != nil {
					t.Fatal(err)
				}
				if got, want := m.refused, map[bool]SessionID{true: session}[test.refused]; got != want {
					t.Errorf("got session %d refused, want %d", got, want)
				}
				if got := m.body != nil; got == test.refused {
					t.Errorf("got the message kept %v, want %v", got, !test.refused)
				}
				closeRoom(m.room)
			}
			if got := holder.memory.Used(); got != 0 {
				t.Errorf("got %d bytes in use in the end, want 0", got)
			}
		})
	}
}

// TestState guards against a choice of holder that is made from calls that have ended, from a time that is long past, or without the
// stream that was opened for it.
func TestState(t *testing.T) {
	address, stop := startServer(t, answer)
	defer stop()
	client := startClient(t, testKey(1))
	if got, want := client.State(time.Now(), address), (State{Reachable: true}); got != want {
		t.Errorf("got %+v of a host that has not been called, want %+v", got, want)
	}
	client.Connect(address)
	waitFor(t, "the stream is open", func() bool { return client.State(time.Now(), address).Connected })
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	silentCtx, end := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := client.Call(silentCtx, address, newCall(client, "silent"))
		done <- err
	}()
	waitFor(t, "the call is counted", func() bool { return client.State(time.Now(), address).InFlight == 1 })
	if got := client.State(time.Now(), address).Response; got != 0 {
		t.Errorf("got a response time of %v before any reply, want none", got)
	}
	end()
	if err := <-done; !errors.Is(err, ErrLost) {
		t.Errorf("got %v, want %v", err, ErrLost)
	}
	if _, err := client.Call(ctx, address, newCall(client, "a")); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	got := client.State(now, address)
	if got.InFlight != 0 || got.Response <= 0 || !got.Connected || !got.Reachable {
		t.Errorf("got %+v, want a response time and no call in flight", got)
	}
	if got := client.State(now.Add(2*responseLifetime), address).Response; got != 0 {
		t.Errorf("got a response time of %v long after the last reply, want none", got)
	}
}
