package sink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// blockedWriter is a writer that blocks until released is closed.
type blockedWriter struct{ released chan struct{} }

// Write blocks until the writer is released.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// startSink returns a running sink, its logger and a function that stops it and returns the error of Run.
func startSink(t *testing.T, out io.Writer) (*Sink, log.Interface, func() error) {
	t.Helper()
	s := New()
	s.Out = out
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, done)
	return s, &log.Logger{Handler: s, Level: log.InfoLevel}, func() error {
		cancel()
		return <-done
	}
}

// TestSinkNeverBlocks checks that logging does not wait when the queue is full because the output blocks.
func TestSinkNeverBlocks(t *testing.T) {
	out := blockedWriter{released: make(chan struct{})}
	s, logger, stop := startSink(t, out)
	s.Now = func() time.Time { return time.Unix(0, 0).Add(time.Duration(s.Dropped()) * time.Second) } // the rate limit never applies
	const lines = 3 * queueLimit
	for range lines {
		event.Stopping(logger, "h1")
	}
	if got := s.Dropped(); got < lines-queueLimit-eventBurst {
		t.Errorf("got %d dropped lines, want the rest counted", got)
	}
	close(out.released)
	if err := stop(); err != nil {
		t.Error(err)
	}
}

func TestSinkLimitsRateOfEachEvent(t *testing.T) {
	var out bytes.Buffer
	s, logger, stop := startSink(t, &out)
	s.Now = func() time.Time { return time.Unix(100, 0) }
	for range 10 * eventBurst {
		event.Stopping(logger, "flood")
	}
	event.Stopped(logger, "rare")
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for line := range bytes.Lines(out.Bytes()) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("got %q, want a JSON line", line)
		}
		counts[fields["id"].(string)]++
	}
	if counts["flood"] != eventBurst || counts["rare"] != 1 {
		t.Errorf("got %v, want %d of the flood and 1 of the rare event", counts, eventBurst)
	}
	if got, want := s.Dropped(), uint64(9*eventBurst); got != want {
		t.Errorf("got %d dropped lines, want %d", got, want)
	}
}

func BenchmarkLine(b *testing.B) {
	s := New()
	s.Out = io.Discard
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, done)
	logger := &log.Logger{Handler: s, Level: log.InfoLevel}
	b.ReportAllocs()
	for b.Loop() {
		event.RequestRefused(logger, "5c0e7a21d94b36f8", "desk", "deadline", "i-1", 98, "7 waiting")
	}
	cancel()
	<-done
}

// TestLevelChangesWhileOthersLog changes the level while entries are logged, which the race detector watches.
func TestLevelChangesWhileOthersLog(t *testing.T) {
	tests := map[string]struct {
		level log.Level
		want  bool // an info event is written
	}{
		"debug": {level: log.DebugLevel, want: true},
		"info":  {level: log.InfoLevel, want: true},
		"warn":  {level: log.WarnLevel},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			s, logger, stop := startSink(t, &out)
			s.Now = time.Now
			logged := make(chan struct{})
			go func() {
				defer close(logged)
				for range 100 {
					event.Started(logger, "front", "early", "")
				}
			}()
			s.SetLevel(test.level)
			<-logged
			event.Stopping(logger, "late")
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			if got := bytes.Contains(out.Bytes(), []byte("late")); got != test.want {
				t.Errorf("got info event written: %v, want %v", got, test.want)
			}
		})
	}
}

// TestLongTextsAreCutOff guards against lines that hold names of any length that callers send, and wait in the queue.
func TestLongTextsAreCutOff(t *testing.T) {
	long := strings.Repeat("x", 2*fieldLimit)
	tests := map[string]struct {
		id   string
		want string
	}{
		"short":                   {id: "h1", want: "h1"},
		"at the limit":            {id: long[:fieldLimit], want: long[:fieldLimit]},
		"over the limit":          {id: long, want: long[:fieldLimit] + "…"},
		"cut within a character":  {id: long[:fieldLimit-1] + "é" + long, want: long[:fieldLimit-1] + "…"},
		"kept characters outside": {id: "é" + long, want: "é" + long[:fieldLimit-2] + "…"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			_, logger, stop := startSink(t, &out)
			event.Stopping(logger, test.id)
			event.SessionRefused(logger, model.KindID(test.id), model.CodeInvalid, 0, "")
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			for _, field := range []string{"id", "kind"} {
				line, rest, _ := strings.Cut(out.String(), "\n")
				out.Reset()
				out.WriteString(rest)
				var got map[string]any
				if err := json.Unmarshal([]byte(line), &got); err != nil {
					t.Fatal(err)
				}
				if got[field] != test.want {
					t.Errorf("got %s %.20q…, want %.20q…", field, got[field], test.want)
				}
			}
		})
	}
}
