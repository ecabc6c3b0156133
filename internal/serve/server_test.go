package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestLimits(t *testing.T) {
	const maxBody = 64
	tests := map[string]struct {
		sends string // what the client sends before it goes silent
		want  string // start of the answer; empty when the server hangs up without one
	}{
		"sound request":    {"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200"},
		"silent client":    {"", ""},
		"half a header":    {"POST / HTTP/1.1\r\nHost: h\r\nX-Slow: ", ""},
		"half a body":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf", "HTTP/1.1 400"},
		"body too large":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), "HTTP/1.1 413"},
		"header too large": {"POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*headerSizeLimit) + "\r\n\r\n", "HTTP/1.1 431"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, maxBody, test.sends)
			if !strings.HasPrefix(got, test.want) || test.want == "" && got != "" {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// newTestServer returns a server with the limit on bodies.
func newTestServer(maxBody int64) *http.Server {
	made := New("", http.HandlerFunc(readBody))
	made.BodyLimit = maxBody
	return made.httpServer()
}

// exchange sends a text to a server whose timeouts are short, and returns everything until the server hangs up.
func exchange(t *testing.T, maxBody int64, sends string) string {
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
		*limit /= 100 // the test does not wait as long as the daemon
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, sends) // the server may hang up before the end
	answer, _ := io.ReadAll(connection)
	if err := server.Shutdown(context.WithoutCancel(t.Context())); err != nil {
		t.Error(err)
	}
	<-done
	return string(answer)
}

// readBody reads the whole request.
func readBody(w http.ResponseWriter, r *http.Request) {
	var large *http.MaxBytesError
	switch _, err := io.ReadAll(r.Body); {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
}
