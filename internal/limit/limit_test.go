package limit

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/model"
)

func TestRankLimiter(t *testing.T) {
	floors := [model.RankCount]model.Percent{60, 25, 5}
	tests := map[string]struct {
		before [model.RankCount]int // earlier requests by rank, sent least urgent first
		want   [model.RankCount]bool
	}{
		"no load":                            {want: [model.RankCount]bool{true, true, true}},
		"rank three floods":                  {before: [model.RankCount]int{0, 0, 500}, want: [model.RankCount]bool{true, true, false}},
		"rank two floods":                    {before: [model.RankCount]int{0, 500, 0}, want: [model.RankCount]bool{true, false, true}},
		"rank one floods":                    {before: [model.RankCount]int{500, 0, 0}, want: [model.RankCount]bool{false, true, true}},
		"all ranks flood":                    {before: [model.RankCount]int{500, 500, 500}, want: [model.RankCount]bool{false, false, false}},
		"rank three has reached its floor":   {before: [model.RankCount]int{500, 0, 5}, want: [model.RankCount]bool{false, true, false}},
		"rank three is just below its floor": {before: [model.RankCount]int{500, 0, 4}, want: [model.RankCount]bool{false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got [model.RankCount]bool
			for rank := model.RankOne; rank <= model.RankThree; rank++ {
				limiter := NewRankLimiter()
				limiter.Limit = 100
				for earlier := model.RankThree; earlier >= model.RankOne; earlier-- {
					for range test.before[earlier.Index()] {
						limiter.Acquire(earlier, floors)
					}
				}
				got[rank.Index()] = limiter.Acquire(rank, floors) == nil
			}
			if got != test.want {
				t.Errorf("got admitted %v, want %v", got, test.want)
			}
		})
	}
}

func TestCallerLimiter(t *testing.T) {
	tests := map[string]struct {
		calls []string // caller of a new request, or "-" and the caller of a request that ends
		want  []bool   // whether each new request is admitted; true for a request that ends
	}{
		"callers within their limits":    {calls: []string{"a", "b", "a"}, want: []bool{true, true, true}},
		"one caller beyond its limit":    {calls: []string{"a", "a", "a", "b"}, want: []bool{true, true, false, true}},
		"callers beyond the total limit": {calls: []string{"a", "b", "c", "d", "e"}, want: []bool{true, true, true, true, false}},
		"ended request frees its place":  {calls: []string{"a", "a", "-a", "a"}, want: []bool{true, true, true, true}},
		"refused requests don't count":   {calls: []string{"a", "a", "a", "a", "-a", "a"}, want: []bool{true, true, false, false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewCallerLimiter[string]()
			limiter.PerCaller, limiter.Total = 2, 4
			var got []bool
			for _, caller := range test.calls {
				if released, found := strings.CutPrefix(caller, "-"); found {
					limiter.Release(released)
					got = append(got, true)
					continue
				}
				got = append(got, limiter.Acquire(caller))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got admitted %v, want %v", got, test.want)
			}
		})
	}
}

func TestHandler(t *testing.T) {
	tests := map[string]struct {
		perCaller int
		want      int
	}{
		"admitted": {perCaller: 1, want: http.StatusNoContent},
		"refused":  {perCaller: 0, want: http.StatusTooManyRequests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewCallerLimiter[string]()
			limiter.PerCaller, limiter.Total = test.perCaller, 10
			ran := false
			handler := Handler(limiter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				ran = true
				w.WriteHeader(http.StatusNoContent)
			}))
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/statements", nil))
			if got := response.Code; got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			if got, want := ran, test.want == http.StatusNoContent; got != want {
				t.Errorf("got ran %v, want %v", got, want)
			}
			if got := limiter.activeTotal; got != 0 {
				t.Errorf("got %d requests in progress at the end, want 0", got)
			}
		})
	}
}

// TestShareLimiter guards against a sharer that takes what others want, and against places that nobody can take.
func TestShareLimiter(t *testing.T) {
	const second = model.Instant(time.Second)
	type step struct {
		after model.Instant
		key   string // takes places, or gives them back if count is negative
		count int
		want  int // places that it gets
	}
	tests := map[string][]step{
		"alone":                   {{key: "a", count: 100, want: 30}},
		"others want some":        {{key: "b", count: 1, want: 1}, {key: "a", count: 100, want: 10}},
		"others come later":       {{key: "a", count: 100, want: 30}, {key: "b", count: 20, want: 10}, {key: "c", count: 1}},
		"all places":              {{key: "a", count: 5, want: 5}, {key: "b", count: 99, want: 10}, {key: "c", count: 99, want: 10}, {key: "d", count: 99, want: 10}, {key: "e", count: 99, want: 5}},
		"given back":              {{key: "a", count: 100, want: 30}, {key: "a", count: -30}, {key: "a", count: 30, want: 30}},
		"the other has just left": {{key: "b", count: 1, want: 1}, {key: "b", count: -1}, {key: "a", count: 20, want: 10}},
		"the other left long ago": {{key: "b", count: 1, want: 1}, {key: "b", count: -1}, {key: "a", after: second, count: 20, want: 20}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			now := model.Instant(0)
			limiter := NewShareLimiter[string]()
			limiter.Limit, limiter.Now = 40, func() model.Instant { return now }
			for n, step := range steps {
				now += step.after
				got := 0
				for range step.count {
					if limiter.Acquire(step.key) {
						got++
					}
				}
				for range -step.count {
					limiter.Release(step.key)
				}
				if got != step.want {
					t.Errorf("step %d: got %d places, want %d", n, got, step.want)
				}
			}
		})
	}
}

func TestListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(inner)
	listener.Limit = 1
	defer listener.Close()
	accepted := make(chan net.Conn, 3)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	first := dial(t, inner)
	conn := <-accepted
	second := dial(t, inner)
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Error("got an open connection beyond the limit, want it closed")
	}
	conn.Close()
	first.Close()
	third := dial(t, inner)
	defer third.Close()
	(<-accepted).Close()
}

// TestRotatingListener guards against clients that hold all connections of a listener and keep others out.
func TestRotatingListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewRotatingListener(inner)
	listener.Limit = 2
	defer listener.Close()
	accepted := make(chan net.Conn, 5)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	var dialled, conns []net.Conn
	for range 3 {
		dialled, conns = append(dialled, dial(t, inner)), append(conns, <-accepted)
	}
	if _, err := conns[0].Read(make([]byte, 1)); err == nil {
		t.Error("got the oldest connection open, want it closed in favour of the third")
	}
	if err := conns[0].Close(); err == nil {
		t.Error("got no error from closing a replaced connection, want one")
	}
	if got, want := listener.open.Len(), 2; got != want {
		t.Errorf("got %d connections counted, want %d", got, want)
	}
	if err := conns[2].Close(); err != nil {
		t.Error(err)
	}
	dial(t, inner)
	<-accepted
	if _, err := dialled[1].Write([]byte("x")); err != nil {
		t.Error(err)
	}
	if _, err := conns[1].Read(make([]byte, 1)); err != nil {
		t.Errorf("got %v on the second connection, want it open since the third was closed", err)
	}
}

// TestHold guards against connections with work in progress that are closed in favour of others, and against places that stay taken.
func TestHold(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewRotatingListener(inner)
	listener.Limit = 1
	full := 0
	listener.Full = func() { full++ }
	defer listener.Close()
	accept := func() net.Conn {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	first := dial(t, inner)
	held := accept()
	Hold(held)
	refused := dial(t, inner)
	accepted := make(chan net.Conn, 1)
	go func() { accepted <- accept() }()
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("got an open connection beside one on hold, want it closed")
	}
	Yield(held)
	dial(t, inner)
	last := <-accepted
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("got the first connection open after its hold, want it closed in favour of the last")
	}
	Hold(last)
	last.Close()
	Yield(last)
	if got := listener.open.Len() + listener.held; got != 0 || full != 2 {
		t.Errorf("got %d connections counted and %d closed for others, want 0 and 2", got, full)
	}
}

// dial opens a connection to the listener.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func BenchmarkRefusal(b *testing.B) {
	b.Run("by caller", func(b *testing.B) {
		handler := Handler(NewCallerLimiter[string](), http.NotFoundHandler())
		request := httptest.NewRequest(http.MethodPost, "/v1/statements", nil)
		response := discardResponse{http.Header{}}
		b.ReportAllocs()
		for b.Loop() {
			handler.ServeHTTP(response, request)
		}
	})
	b.Run("by rank", func(b *testing.B) {
		limiter := NewRankLimiter()
		b.ReportAllocs()
		for b.Loop() {
			if limiter.Acquire(model.RankThree, [model.RankCount]model.Percent{}) == nil {
				b.Fatal("got admitted, want refused")
			}
		}
	})
}
