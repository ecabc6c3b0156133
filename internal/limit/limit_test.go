package limit

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"redwingspread/internal/model"
)

func TestGate(t *testing.T) {
	floors := [model.Ranks]model.Percent{60, 25, 5}
	tests := map[string]struct {
		before [model.Ranks]int // requests that try to enter first, least urgent first
		want   [model.Ranks]bool
	}{
		"empty":                              {want: [model.Ranks]bool{true, true, true}},
		"rank three floods":                  {before: [model.Ranks]int{0, 0, 500}, want: [model.Ranks]bool{true, true, false}},
		"rank two floods":                    {before: [model.Ranks]int{0, 500, 0}, want: [model.Ranks]bool{true, false, true}},
		"rank one floods":                    {before: [model.Ranks]int{500, 0, 0}, want: [model.Ranks]bool{false, true, true}},
		"all flood":                          {before: [model.Ranks]int{500, 500, 500}, want: [model.Ranks]bool{false, false, false}},
		"rank three holds its floor":         {before: [model.Ranks]int{500, 0, 5}, want: [model.Ranks]bool{false, true, false}},
		"rank three is just below its floor": {before: [model.Ranks]int{500, 0, 4}, want: [model.Ranks]bool{false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got [model.Ranks]bool
			for rank := model.RankOne; rank <= model.RankThree; rank++ {
				gate := NewRankLimiter()
				gate.Limit = 100
				for other := model.RankThree; other >= model.RankOne; other-- {
					for range test.before[other.Index()] {
						gate.Acquire(other, floors)
					}
				}
				got[rank.Index()] = gate.Acquire(rank, floors) == nil
			}
			if got != test.want {
				t.Errorf("got let in %v, want %v", got, test.want)
			}
		})
	}
}

func TestCallers(t *testing.T) {
	tests := map[string]struct {
		enter []string
		want  []bool
	}{
		"each within its limit":    {enter: []string{"a", "b", "a"}, want: []bool{true, true, true}},
		"one beyond its limit":     {enter: []string{"a", "a", "a", "b"}, want: []bool{true, true, false, true}},
		"all beyond their limit":   {enter: []string{"a", "b", "c", "d", "e"}, want: []bool{true, true, true, true, false}},
		"a caller that has left":   {enter: []string{"a", "a", "-a", "a"}, want: []bool{true, true, true, true}},
		"refused ones don't count": {enter: []string{"a", "a", "a", "a", "-a", "a"}, want: []bool{true, true, false, false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			callers := NewCallerLimiter[string]()
			callers.PerCaller, callers.Total = 2, 4
			var got []bool
			for _, caller := range test.enter {
				if leaves, found := strings.CutPrefix(caller, "-"); found {
					callers.Release(leaves)
					got = append(got, true)
					continue
				}
				got = append(got, callers.Acquire(caller))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got let in %v, want %v", got, test.want)
			}
		})
	}
}

func TestHandler(t *testing.T) {
	tests := map[string]struct {
		each int
		want int
	}{
		"let in":  {each: 1, want: http.StatusNoContent},
		"refused": {each: 0, want: http.StatusTooManyRequests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			callers := NewCallerLimiter[string]()
			callers.PerCaller, callers.Total = test.each, 10
			ran := false
			handler := Handler(callers, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				ran = true
				w.WriteHeader(http.StatusNoContent)
			}))
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/statements", nil))
			if got := answer.Code; got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			if got, want := ran, test.want == http.StatusNoContent; got != want {
				t.Errorf("got ran %v, want %v", got, want)
			}
			if got := callers.activeTotal; got != 0 {
				t.Errorf("got %d requests in progress at the end, want 0", got)
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
	held := <-accepted
	second := dial(t, inner)
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Error("got an open connection beyond the limit, want it closed")
	}
	held.Close()
	first.Close()
	third := dial(t, inner)
	defer third.Close()
	(<-accepted).Close()
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

// discard is an answer that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func BenchmarkRefusal(b *testing.B) {
	b.Run("before reading", func(b *testing.B) {
		handler := Handler(NewCallerLimiter[string](), http.NotFoundHandler())
		request := httptest.NewRequest(http.MethodPost, "/v1/statements", nil)
		answer := discard{http.Header{}}
		b.ReportAllocs()
		for b.Loop() {
			handler.ServeHTTP(answer, request)
		}
	})
	b.Run("by rank", func(b *testing.B) {
		gate := NewRankLimiter()
		b.ReportAllocs()
		for b.Loop() {
			if gate.Acquire(model.RankThree, [model.Ranks]model.Percent{}) == nil {
				b.Fatal("got let in, want refused")
			}
		}
	})
}
