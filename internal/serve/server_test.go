package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/budget"
)

func TestLimits(t *testing.T) {
	const maxBody = 64
	tests := map[string]struct {
		sent string // bytes that the client sends before it stops
		want string // prefix of the response; empty when the server closes without one
	}{
		"valid request":    {"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200"},
		"silent client":    {"", ""},
		"partial header":   {"POST / HTTP/1.1\r\nHost: h\r\nX-Slow: ", ""},
		"partial body":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf", "HTTP/1.1 400"},
		"body too large":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), "HTTP/1.1 413"},
		"header too large": {"POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*headerSizeLimit) + "\r\n\r\n", "HTTP/1.1 431"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, maxBody, test.sent)
			if !strings.HasPrefix(got, test.want) || test.want == "" && got != "" {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestMemory guards against bodies that are held without memory for them, and against memory that is not given back.
func TestMemory(t *testing.T) {
	tests := map[string]struct {
		size   int
		hidden bool // the size is not stated
		want   int
	}{
		"none":                   {want: http.StatusOK},
		"small":                  {size: 100, want: http.StatusOK},
		"within the limit":       {size: 100 << 10, want: http.StatusOK},
		"beyond the limit":       {size: 500 << 10, want: http.StatusTooManyRequests},
		"hidden":                 {size: 50 << 10, hidden: true, want: http.StatusOK},
		"hidden and beyond":      {size: 500 << 10, hidden: true, want: http.StatusTooManyRequests},
		"beyond the body's most": {size: 2 << 20, want: http.StatusTooManyRequests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := budget.New()
			memory.Limit = 1 << 20
			server := New("", LimitBodies(memory, http.HandlerFunc(readBody)))
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", test.size)))
			if test.hidden {
				request.ContentLength = -1
			}
			response := httptest.NewRecorder()
			server.httpServer().Handler.ServeHTTP(response, request)
			if got := response.Code; got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			if got := memory.Used(); got != 0 {
				t.Errorf("got %d bytes in use in the end, want 0", got)
			}
		})
	}
}

// newTestServer returns a server with the given body limit.
func newTestServer(maxBody int64) *http.Server {
	server := New("", http.HandlerFunc(readBody))
	server.BodyLimit = maxBody
	return server.httpServer()
}

// exchange sends bytes to a server with shortened timeouts and returns all that it receives until the server closes the connection.
func exchange(t *testing.T, maxBody int64, sent string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newTestServer(maxBody)
	for _, limit := range []*time.Duration{&server.ReadHeaderTimeout, &server.ReadTimeout, &server.IdleTimeout} {
		if *limit <= 0 {
			t.Fatalf("got a timeout of %v, want a limit", *limit)
		}
		*limit /= 100 // keeps the test short
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, sent) // the server may close the connection early
	answer, _ := io.ReadAll(connection)
	if err := server.Shutdown(context.WithoutCancel(t.Context())); err != nil {
		t.Error(err)
	}
	<-done
	return string(answer)
}

// readBody reads the request body and responds with the status of a failure.
func readBody(w http.ResponseWriter, r *http.Request) {
	var tooLarge *http.MaxBytesError
	switch _, err := io.ReadAll(r.Body); {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestStopAnswersRequestsInProgress stops a server with its defaults while a request is in progress.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.WriteHeader(http.StatusAccepted)
	}))
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done, status := make(chan error, 1), make(chan int, 1)
	go server.Run(ctx, done)
	go func() {
		response, err := http.Get("http://" + server.listener.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	<-begun
	stop()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	if got := <-status; got != http.StatusAccepted {
		t.Errorf("got status %d for the request in progress, want %d", got, http.StatusAccepted)
	}
	if err := <-done; err != nil {
		t.Errorf("got error %v of the stop, want none", err)
	}
}
