package sink

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"redwingspread/internal/event"
)

const (
	queueLimit     = 2048        // lines waiting to be written; bounds the memory in use while the output blocks, and logging does not wait
	eventRate      = 25          // lines a second of one event, so that a flood of one event does not displace the others
	eventBurst     = 60          // lines of one event in a burst
	fieldLimit     = 1 << 10     // bytes of a text in a field
	reportInterval = time.Second // between two reports of dropped lines
)

// Sink is a log handler that never blocks.
type Sink struct {
	// Out receives the lines.
	Out io.Writer
	// Now returns the current time.
	Now func() time.Time

	level   atomic.Int32
	lines   chan []byte
	dropped atomic.Uint64
	mutex   sync.Mutex
	limits  map[event.Number]*rate.Limiter
}

// New returns a sink; the exported fields must be set before Run is called.
func New() *Sink {
	s := &Sink{
		Now:    time.Now,
		lines:  make(chan []byte, queueLimit),
		limits: make(map[event.Number]*rate.Limiter),
	}
	s.SetLevel(log.InfoLevel)
	return s
}

// SetLevel sets the lowest level of entries that are written; it may be called while others log.
func (s *Sink) SetLevel(level log.Level) { s.level.Store(int32(level)) }

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// HandleLog queues one entry of a sufficient level and returns nil; an entry that exceeds a limit or cannot be encoded is dropped and counted.
func (s *Sink) HandleLog(entry *log.Entry) error {
	if entry.Level < log.Level(s.level.Load()) {
		return nil
	}
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

// withinRate reports whether an entry is within the rate limit of its event.
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
		fields[name] = shorten(value)
	}
	fields["time"] = s.Now().UTC().Format(time.RFC3339Nano)
	fields["level"] = entry.Level.String()
	fields["message"] = entry.Message
	line, err := json.Marshal(fields)
	return append(line, '\n'), err
}

// shorten returns a value of a field, cut off if it is a long text; callers choose some of the texts.
func shorten(value any) any {
	text := reflect.ValueOf(value)
	if text.Kind() != reflect.String || text.Len() <= fieldLimit {
		return value
	}
	return strings.ToValidUTF8(text.String()[:fieldLimit], "") + "…"
}

// Run writes lines until the context ends, then those still in the queue, and sends the first write error or nil on done.
func (s *Sink) Run(ctx context.Context, done chan<- error) {
	out := bufio.NewWriter(s.Out)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	var err error
	for ctx.Err() == nil && err == nil {
		select {
		case line := <-s.lines:
			err = s.write(out, line)
		case <-ticker.C:
			if dropped := s.dropped.Load(); dropped > reported {
				logger := &log.Logger{Handler: s, Level: log.InfoLevel}
				event.LinesDropped(logger, dropped-reported)
				reported = dropped
			}
		case <-ctx.Done():
		}
	}
	for err == nil && len(s.lines) > 0 {
		err = s.write(out, <-s.lines)
	}
	done <- err
}

// write writes a line and all queued ones, then flushes them together.
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
