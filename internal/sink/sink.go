package sink

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"redwingspread/internal/event"
)

const (
	queueLimit     = 2048        // lines that wait for the writer; a reader that stops costs this much memory and no time
	eventRate      = 25          // lines a second of one event, so that a flood of one leaves the others theirs
	eventBurst     = 60          // lines of one event at once
	reportInterval = time.Second // between two lines that count what was left out
)

// Sink is a handler of log entries; it never blocks.
type Sink struct {
	// Out takes the lines.
	Out io.Writer
	// Now reads the clock.
	Now func() time.Time

	lines   chan []byte
	dropped atomic.Uint64
	mutex   sync.Mutex
	limits  map[event.Number]*rate.Limiter
}

// New returns a sink whose exported fields are to be set before Run.
func New() *Sink {
	return &Sink{
		Now:    time.Now,
		lines:  make(chan []byte, queueLimit),
		limits: make(map[event.Number]*rate.Limiter),
	}
}

// Dropped returns the number of lines that were left out since the start.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// HandleLog takes one entry and returns nil; a line beyond the bounds is counted and left out.
func (s *Sink) HandleLog(entry *log.Entry) error {
	if !s.withinRate(entry) {
		s.dropped.Add(1)
		return nil
	}
	line, err := s.encode(entry)
	if err != nil {
		s.dropped.Add(1)
		return nil
	}
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return nil
}

// withinRate reports whether a line of the entry's event is within its rate.
func (s *Sink) withinRate(entry *log.Entry) bool {
	number, _ := entry.Fields["event"].(event.Number)
	s.mutex.Lock()
	limit, found := s.limits[number]
	if !found {
		limit = rate.NewLimiter(eventRate, eventBurst)
		s.limits[number] = limit
	}
	s.mutex.Unlock()
	return limit.AllowN(s.Now(), 1)
}

// encode returns the entry as one JSON line.
func (s *Sink) encode(entry *log.Entry) ([]byte, error) {
	fields := make(map[string]any, len(entry.Fields)+3)
	for name, value := range entry.Fields {
		fields[name] = value
	}
	fields["time"] = s.Now().UTC().Format(time.RFC3339Nano)
	fields["level"] = entry.Level.String()
	fields["message"] = entry.Message
	line, err := json.Marshal(fields)
	return append(line, '\n'), err
}

// Run writes the lines until the context ends, then those that wait, and reports its end on done.
func (s *Sink) Run(ctx context.Context, done chan<- error) {
	out := bufio.NewWriter(s.Out)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	told := uint64(0)
	var err error
	for ctx.Err() == nil && err == nil {
		select {
		case line := <-s.lines:
			err = s.write(out, line)
		case <-ticker.C:
			if dropped := s.dropped.Load(); dropped > told {
				logger := &log.Logger{Handler: s, Level: log.InfoLevel}
				event.LinesDropped(logger, dropped-told)
				told = dropped
			}
		case <-ctx.Done():
		}
	}
	for err == nil && len(s.lines) > 0 {
		err = s.write(out, <-s.lines)
	}
	done <- err
}

// write writes a line and those that wait behind it in one go.
func (s *Sink) write(out *bufio.Writer, line []byte) error {
	if _, err := out.Write(line); err != nil {
		return err
	}
	for len(s.lines) > 0 {
		if _, err := out.Write(<-s.lines); err != nil {
			return err
		}
	}
	return out.Flush()
}
