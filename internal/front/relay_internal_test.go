package front

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/holder"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/relay"
	"redwingspread/internal/scout"
	"redwingspread/internal/session"
	"redwingspread/internal/statement"
)

// fixedView is a control machine whose view doesn't change.
type fixedView struct{ view *controller.View }

// Handle does nothing.
func (fixedView) Handle(time.Time, controller.Event) []controller.Action { return nil }

// Snapshot returns the view.
func (m fixedView) Snapshot() *controller.View { return m.view }

// recordingCaller keeps what it is told last.
type recordingCaller struct {
	Caller
	code    model.Code
	notRun  bool
	refused bool // by the host

	retryAfter time.Duration // of a refusal by the host
}

// SendResponse keeps the code of a response.
func (c *recordingCaller) SendResponse(response *statement.Response, _ statement.State) error {
	c.code, c.notRun, c.refused = response.Code, false, false
	return nil
}

// SendRefusal keeps a refusal.
func (c *recordingCaller) SendRefusal(refusal *model.Refusal, _ statement.State) error {
	c.code, c.notRun, c.refused, c.retryAfter = refusal.Code, refusal.NotRun, true, refusal.RetryAfter
	return nil
}

// AwaitClose waits for the end of the context: the caller stays.
func (c *recordingCaller) AwaitClose(ctx context.Context) bool {
	<-ctx.Done()
	return false
}

// scriptedHolder is a holder that does with each call what the call's text or else its verb says.
type scriptedHolder struct {
	mutex sync.Mutex
	calls map[string]int // by text
	open  int            // sessions
}

// relayKey is the shared key of the hosts of these tests.
var relayKey mesh.Key

// start starts the holder on a loopback address; lose ends its streams.
func (s *scriptedHolder) start(t *testing.T, commit string) (address model.Address) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = model.Address(listener.Addr().String())
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, lose := context.WithCancel(context.Background())
	server := relay.NewServer()
	server.Address, server.Logger = address, quietLogger()
	server.Key = func() *mesh.Key { return &relayKey }
	server.Serve = func(_ context.Context, passed relay.Session) {
		s.count("", 1)
		defer s.count("", -1)
		for call := range passed.Calls {
			text := call.Request.Text
			if call.Request.Verb == statement.Commit {
				text = "commit" + commit
			}
			s.count(text, 1)
			switch strings.TrimPrefix(text, "commit") {
			case "silent":
			case "lost":
				lose()
			case "unknown":
				_ = passed.Reply(&relay.Reply{Refusal: model.OutcomeUnknown("lost")})
			case "behind":
				_ = passed.Reply(&relay.Reply{Refusal: model.Refuse(model.CodeBehind, "behind")})
			case "stopping":
				_ = passed.Reply(&relay.Reply{Refusal: model.Refuse(model.CodeStopping, "stopping")})
			default:
				_ = passed.Reply(&relay.Reply{Response: statement.Response{State: statement.Open, Point: model.Point{Term: 1, Position: 7}}})
			}
			if call.Last {
				return
			}
		}
	}
	done := make(chan error, 1)
	go server.Run(ctx, done)
	t.Cleanup(func() {
		lose()
		<-done
	})
	for {
		if conn, err := net.Dial("tcp4", string(address)); err == nil {
			_ = conn.Close()
			return address
		}
		time.Sleep(time.Millisecond)
	}
}

// count adds to the calls of a text, or to the open sessions.
func (s *scriptedHolder) count(text string, change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if text == "" {
		s.open += change
		return
	}
	s.calls[text] += change
}

// TestWhatIsToldOfPassedOnRequests guards against a request that is told as not run or aborted although it may have run, that is sent
// twice, whose promise tells less than is known, or whose session stays open at the holder. Without the holder, no instance is reached.
func TestWhatIsToldOfPassedOnRequests(t *testing.T) {
	write := func(text string) statement.Statement { return statement.Statement{Verb: statement.Write, Text: text} }
	read := func(text string) statement.Statement { return statement.Statement{Verb: statement.Read, Text: text} }
	begin, commit := statement.Statement{Verb: statement.Begin}, statement.Statement{Verb: statement.Commit}
	const unknown, aborted = model.CodeOutcomeUnknown, model.CodeTransactionEnded
	tests := map[string]struct {
		statements []statement.Statement
		commit     string // what the holder does with a commit
		want       model.Code
		unsent     bool // the refusal is one of this host, as not run, with any code but the wanted one
	}{
		"write":                                {statements: []statement.Statement{write("a")}},
		"write, silent":                        {statements: []statement.Statement{write("silent")}, want: unknown},
		"write, stream lost":                   {statements: []statement.Statement{write("lost")}, want: unknown},
		"write, unknown at the holder":         {statements: []statement.Statement{write("unknown")}, want: unknown},
		"write, holder stops":                  {statements: []statement.Statement{write("stopping")}, want: "stopping", unsent: true},
		"write, holder knows no primary":       {statements: []statement.Statement{write("behind")}, want: "behind", unsent: true},
		"read, silent":                         {statements: []statement.Statement{read("silent")}, want: aborted},
		"read, unknown at the holder":          {statements: []statement.Statement{read("unknown")}, want: aborted},
		"transaction":                          {statements: []statement.Statement{begin, write("a"), read("b"), commit}},
		"first statement silent":               {statements: []statement.Statement{begin, write("silent")}, want: aborted},
		"first statement, holder stops":        {statements: []statement.Statement{begin, write("stopping")}, want: "stopping", unsent: true},
		"first statement, knows no primary":    {statements: []statement.Statement{begin, write("behind")}, want: "behind", unsent: true},
		"statement, stream lost":               {statements: []statement.Statement{begin, write("a"), write("lost")}, want: aborted},
		"statement unknown at the holder":      {statements: []statement.Statement{begin, write("a"), write("unknown")}, want: aborted},
		"session ended before a statement":     {statements: []statement.Statement{begin, write("a"), write("stopping")}, want: aborted},
		"commit, silent":                       {statements: []statement.Statement{begin, write("a"), commit}, commit: "silent", want: unknown},
		"commit, stream lost":                  {statements: []statement.Statement{begin, write("a"), commit}, commit: "lost", want: unknown},
		"commit unknown at the holder":         {statements: []statement.Statement{begin, write("a"), commit}, commit: "unknown", want: unknown},
		"commit without writes, lost":          {statements: []statement.Statement{begin, read("a"), commit}, commit: "lost", want: aborted},
		"session ended before the commit":      {statements: []statement.Statement{begin, write("a"), commit}, commit: "stopping", want: aborted},
		"rolled back by the caller":            {statements: []statement.Statement{begin, write("a"), {Verb: statement.Rollback}}},
		"commit after a lost stream":           {statements: []statement.Statement{begin, write("a"), write("lost"), commit}, want: aborted},
		"stream lost, then an unsent commit":   {statements: []statement.Statement{begin, write("a"), read("lost"), commit}, want: aborted},
		"commit without writes, none at fault": {statements: []statement.Statement{begin, read("a"), commit}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scripted := &scriptedHolder{calls: make(map[string]int)}
			address := scripted.start(t, test.commit)
			kind := model.Kind{ID: "desk", Database: "seats", Rank: model.RankOne, Goal: 400 * time.Millisecond, Timeout: 400 * time.Millisecond}
			h := New()
			h.Loop = control.New(fixedView{&controller.View{
				Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": kind}},
				Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
				Shares:    map[model.InstanceID]controller.Share{"i1": {Slots: 1, Connections: 1, Holders: holder.New("i1", "h1", []holder.Host{{ID: "h2", Address: address}})}},
			}})
			h.Platform, h.Logger = hangingPlatform{}, quietLogger()
			h.relays.Key = func() *mesh.Key { return &relayKey }
			defer h.relays.Close()
			b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}})
			defer b.close()
			caller := &recordingCaller{}
			s := &callerSession{host: h, caller: caller, kind: "desk", state: session.NewSession()}
			for _, stmt := range test.statements {
				if err := s.handle(t.Context(), statement.Request{ID: "r", Statement: stmt}); err != nil {
					t.Fatal(err)
				}
			}
			if test.unsent {
				if !caller.refused || !caller.notRun || caller.code == test.want {
					t.Errorf("got %q, not run %v, want a refusal of this host as not run", caller.code, caller.notRun)
				}
			} else if caller.code != test.want {
				t.Errorf("got %q, want %q", caller.code, test.want)
			}
			if b.behindUntil != 0 {
				t.Error("got the primary left out of reads as behind, want it kept")
			}
			for limit := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				scripted.mutex.Lock()
				open := scripted.open
				scripted.mutex.Unlock()
				if open == 0 {
					break
				}
				if time.Now().After(limit) {
					t.Fatalf("got %d sessions left open at the holder, want none", open)
				}
			}
			scripted.mutex.Lock()
			defer scripted.mutex.Unlock()
			for text, got := range scripted.calls {
				if got != 1 {
					t.Errorf("got %d calls of %q, want 1", got, text)
				}
			}
		})
	}
}

// agreeingPlatform is a platform whose instances do what they are asked.
type agreeingPlatform struct{ Platform }

// Dial opens a connection.
func (agreeingPlatform) Dial(context.Context, directory.Instance, model.TenantID) (InstanceConn, error) {
	return &agreeingConn{}, nil
}

// agreeingConn is a connection to such an instance.
type agreeingConn struct {
	InstanceConn
	pending []statement.State // of the session after each command without a response
}

// Send takes commands.
func (c *agreeingConn) Send(commands []statement.Command) error {
	for _, command := range commands {
		state := statement.Open
		if command.Verb == statement.Commit || command.Verb == statement.Rollback {
			state = statement.Idle
		}
		c.pending = append(c.pending, state)
	}
	return nil
}

// Receive returns the next response.
func (c *agreeingConn) Receive(time.Time) (statement.Response, error) {
	state := c.pending[0]
	c.pending = c.pending[1:]
	return statement.Response{State: state, Point: model.Point{Term: 1, Position: 5}}, nil
}

// Alive reports that the connection is open.
func (*agreeingConn) Alive() bool { return true }

// Close does nothing.
func (*agreeingConn) Close() error { return nil }

// TestProofsInReplies guards against a reply that is taken for a proof that its instance leads, which lets reads be staler than allowed:
// a commit without writes succeeds at an instance that doesn't lead any more.
func TestProofsInReplies(t *testing.T) {
	tests := map[string]struct {
		verb statement.Verb
		want []bool // for the statement and for the commit
	}{
		"reads":  {verb: statement.Read, want: []bool{true, false}},
		"writes": {verb: statement.Write, want: []bool{true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kind := model.Kind{ID: "desk", Database: "seats", Rank: model.RankOne, Goal: 5 * time.Second, Timeout: 5 * time.Second}
			h := New()
			h.Loop = control.New(fixedView{&controller.View{
				Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": kind}},
				Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
			}})
			h.Platform, h.Logger = agreeingPlatform{}, quietLogger()
			b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}})
			defer b.close()
			b.scheduler.SetLimits(2, 2, false)
			var got []bool
			caller := &relayedCaller{session: relay.Session{Reply: func(reply *relay.Reply) error {
				if reply.Refusal != nil {
					t.Errorf("got refusal %v, want a response", reply.Refusal)
				}
				got = append(got, reply.Led)
				return nil
			}}}
			limit := time.Now().Add(5 * time.Second)
			s := &callerSession{host: h, caller: caller, kind: "desk", policy: kind, state: session.NewSession(), relayed: true, startLimit: limit, responseLimit: limit}
			caller.owner, s.state.Transaction = s, statement.Open
			for _, verb := range []statement.Verb{test.verb, statement.Commit} {
				if err := s.handle(t.Context(), statement.Request{ID: "r", Statement: statement.Statement{Verb: verb}}); err != nil {
					t.Fatal(err)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got proofs %v, want %v", got, test.want)
			}
		})
	}
}

// TestFreshnessInReplies guards against a holder that keeps to itself that its replica is behind, so that the calling host sends it the
// next such read as well, and against one that tells of instances to which it keeps no connections.
func TestFreshnessInReplies(t *testing.T) {
	newHost := func(t *testing.T, shares map[model.InstanceID]controller.Share) *Host {
		h := New()
		h.Loop = control.New(fixedView{&controller.View{
			Directory: &directory.Directory{Version: 1, Kinds: map[model.KindID]model.Kind{"desk": {ID: "desk", Database: "seats"}}},
			Primaries: map[model.DatabaseID]controller.Primary{"seats": {Instance: "i1", State: failover.Leading}},
			Shares:    shares,
		}})
		h.Platform, h.Logger = hangingPlatform{}, quietLogger()
		for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
			b := h.addBackend(t.Context(), directory.Instance{Instance: model.Instance{ID: id, Database: "seats"}})
			t.Cleanup(b.close)
		}
		return h
	}
	reached := model.Point{Term: 1, Position: 5}
	tests := map[string]struct {
		known bool // the holder knows something of its replica
		want  []relay.Replica
		index int // of the instance to which the calling host sends its next read of a fresh commit
	}{
		"holder knows the lag":    {known: true, want: []relay.Replica{{Instance: "i2", Reached: reached, Lag: 150 * time.Millisecond}}, index: 0},
		"holder has just started": {index: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			others := holder.New("i1", "h1", []holder.Host{{ID: "h2", Address: "h2:1"}})
			remote := newHost(t, map[model.InstanceID]controller.Share{"i1": {Holders: others}, "i3": {Holders: others}})
			if test.known {
				for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
					remote.backend(id).noteFreshness(clock.Boot(), relay.Replica{Reached: reached, Lag: 150 * time.Millisecond})
				}
			}
			var got []relay.Replica
			caller := &relayedCaller{session: relay.Session{Reply: func(reply *relay.Reply) error {
				got = reply.Replicas
				return nil
			}}}
			caller.owner = &callerSession{host: remote, kind: "desk"}
			if err := caller.SendRefusal(model.Refuse(model.CodeBehind, "behind"), statement.Idle); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			h := newHost(t, nil)
			e := &execution{session: &callerSession{host: h, state: session.NewSession()}, access: model.Read,
				policy: model.Kind{ID: "desk", Database: "seats", Consistency: model.ReadYourWrites, MaxAge: model.Age(time.Minute)}}
			h.observeProofs([]scout.Proof{{Database: "seats", Instance: "i1", Point: model.Point{Term: 1, Position: 1}, SentAt: clock.Boot()}})
			e.session.state.RecordCommit(model.Point{Term: 1, Position: 9})
			e.noteReplicas(got)
			e.exclude(h.backend("i3"))
			found, ok := e.pickTarget(h.replicaSet("seats"), "i1", nil)
			if want := h.replicaSet("seats").list()[test.index]; !ok || found.backend != want {
				t.Errorf("got %+v, want %s", found, want.instance.ID)
			}
		})
	}
}
