package explain

import (
	"strings"
	"testing"
	"time"
)

// readLogs returns the lines of logs that are given by host.
func readLogs(t *testing.T, logs map[string]string) (lines []Line) {
	t.Helper()
	for source, text := range logs {
		more, _, err := Read(source, strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, more...)
	}
	return lines
}

func TestFollow(t *testing.T) {
	const (
		forceOld = `{"event":6001,"time":"2026-05-16T12:00:00Z","version":3}` + "\n"
		forceNew = `{"event":6001,"time":"2026-05-16T12:00:08Z","version":5}` + "\n"
		appeared = `{"event":6002,"time":"2026-05-16T11:50:00Z","instance":"i-1","database":"d1"}` + "\n"
		judged   = `{"event":6007,"time":"2026-05-16T12:00:09Z","message":"a primary is to be replaced","instance":"i-1","database":"d1","reason":"silent"}` + "\n"
		other    = `{"event":6007,"time":"2026-05-16T12:00:09Z","instance":"i-9","database":"d9","reason":"silent"}` + "\n"
		refused  = `{"event":6010,"time":"2026-05-16T12:00:10Z","request":"r","kind":"k","instance":"i-1",`
		unsure   = `{"event":6012,"time":"2026-05-16T12:00:10Z","request":"r","kind":"k","instance":"i-1","reason":"read: i/o timeout"}` + "\n"
	)
	tests := map[string]struct {
		logs  map[string]string
		cause string // a part of it
		lines int
		near  int
	}{
		"no line": {
			logs: map[string]string{"h1": forceOld}, cause: "no log has a line of it",
		},
		"no line, and a host that was killed": {
			logs:  map[string]string{"h1": `{"event":1001,"time":"2026-05-16T12:00:00Z"}` + "\n" + `{"event":1001,"time":"2026-05-16T12:00:09Z"}` + "\n"},
			cause: "1 ends of 1 hosts",
		},
		"a session refused at its start": {
			logs:  map[string]string{"h1": `{"event":6019,"time":"2026-05-16T12:00:09Z","kind":"k","code":"unavailable","reason":"just started"}`},
			cause: "h1 refused the session: just started", lines: 1,
		},
		"a session refused by a host with an old configuration": {
			logs:  map[string]string{"h1": forceOld + `{"event":6019,"time":"2026-05-16T12:00:09Z","kind":"k","code":"unknown_database"}`, "h2": forceNew},
			cause: "h1 had version 3 of the configuration while h2 had version 5", lines: 1,
		},
		"load": {
			logs:  map[string]string{"h1": refused + `"code":"deadline","reason":"7 waiting, 2 of 2 running"}`},
			cause: "i-1 had no room in time at h1: 7 waiting, 2 of 2 running", lines: 1,
		},
		"load since replicas lag": {
			logs: map[string]string{"h1": `{"event":6011,"time":"2026-05-16T12:00:09.9Z","request":"r","instance":"i-2","reason":"behind"}` + "\n" +
				refused + `"code":"overloaded","reason":"full"}`},
			cause: "replicas lagged", lines: 2,
		},
		"a change of primary that another host judged": {
			logs:  map[string]string{"h1": refused + `"code":"unavailable","reason":"the primary is lost"}`, "h2": appeared + judged + other},
			cause: "the primary of d1 was being replaced", lines: 1, near: 1,
		},
		"a primary that is not known": {
			logs: map[string]string{"h1": `{"event":6006,"time":"2026-05-16T12:00:09Z","instance":"i-1","database":"d1","state":"silent"}` + "\n" +
				refused + `"code":"unavailable","reason":"no primary is known"}`},
			cause: "h1 did not know a primary of d1 that leads (silent)", lines: 1, near: 1,
		},
		"a primary that leads": {
			logs: map[string]string{"h1": `{"event":6006,"time":"2026-05-16T12:00:09Z","instance":"i-1","database":"d1","state":"led"}` + "\n" +
				refused + `"code":"unavailable","reason":"each instance has failed"}`},
			cause: "no instance would do: each instance has failed", lines: 1, near: 1,
		},
		"unsure around a change of primary": {
			logs: map[string]string{"h1": unsure, "h2": appeared + judged}, cause: "while the primary of d1 was replaced", lines: 1, near: 1,
		},
		"unsure alone": {
			logs: map[string]string{"h1": unsure, "h2": other}, cause: "ended before the answer: read: i/o timeout", lines: 1,
		},
		"an old configuration": {
			logs:  map[string]string{"h1": forceOld + refused + `"code":"unknown_database"}`, "h2": forceNew},
			cause: "h1 had version 3 of the configuration while h2 had version 5", lines: 1,
		},
		"no such kind of work": {
			logs:  map[string]string{"h1": forceNew + refused + `"code":"unknown_database"}`, "h2": forceOld},
			cause: "version 5 of the configuration has no kind of work with this name", lines: 1, near: 1,
		},
		"a transaction that ended": {
			logs: map[string]string{"h1": refused + `"code":"transaction_ended","reason":"EOF"}`}, cause: "its transaction ended at i-1", lines: 1,
		},
		"a host that stops": {
			logs:  map[string]string{"h1": `{"event":1002,"time":"2026-05-16T12:00:09Z"}` + "\n" + refused + `"code":"stopping"}`},
			cause: "h1 was stopping", lines: 1, near: 1,
		},
		"the instance's own refusal": {
			logs: map[string]string{"h1": refused + `"code":"failed","reason":"x"}`}, cause: "i-1 refused it as failed: x", lines: 1,
		},
		"lines of a collector": {
			logs:  map[string]string{"all": "  10.1 h7 " + refused + `"code":"deadline","reason":"full"}`},
			cause: "no room in time at h7", lines: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Explain(Query{Request: "r", Kind: "k"}, readLogs(t, test.logs))
			if !strings.Contains(got.Cause, test.cause) {
				t.Errorf("got cause %q, want it to say %q", got.Cause, test.cause)
			}
			if len(got.Lines) != test.lines || len(got.Related) != test.near {
				t.Errorf("got %d lines and %d around them, want %d and %d", len(got.Lines), len(got.Related), test.lines, test.near)
			}
		})
	}
}

func TestRead(t *testing.T) {
	tests := map[string]struct {
		log     string
		lines   int
		skipped int
		fails   bool
	}{
		"empty":         {},
		"text":          {log: "panic: x\n\n", skipped: 2},
		"cut line":      {log: `{"event":6010,"request":"r`, skipped: 1},
		"other JSON":    {log: `{"a":1}`, skipped: 1},
		"wrong types":   {log: `{"event":6010,"request":7}`, skipped: 1},
		"a line":        {log: `{"event":6010,"request":"r"}`, lines: 1},
		"far too long":  {log: strings.Repeat("x", maxLineBytes+1), fails: true},
		"binary, lines": {log: "\x00\xff{\n" + `{"event":1001}` + "\n", lines: 1, skipped: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines, skipped, err := Read("h1", strings.NewReader(test.log))
			if len(lines) != test.lines || skipped != test.skipped || (err != nil) != test.fails {
				t.Errorf("got %d lines, %d passed over, error %v; want %d, %d, an error: %v", len(lines), skipped, err, test.lines, test.skipped, test.fails)
			}
		})
	}
}

// FuzzRead reads any bytes as a log and follows whatever request it finds.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`  1.5 h1 {"event":6010,"request":"r","time":"2026-05-16T12:00:10Z","code":"deadline"}`))
	f.Add([]byte("{\n{}\n"))
	f.Fuzz(func(t *testing.T, log []byte) {
		lines, _, err := Read("h1", strings.NewReader(string(log)))
		if err != nil {
			return
		}
		for _, line := range lines {
			if line.Request == "" {
				continue
			}
			way := Explain(Query{Request: line.Request}, lines)
			if len(way.Lines) == 0 || way.Cause == "" {
				t.Errorf("got %d lines and cause %q of request %q, want both", len(way.Lines), way.Cause, line.Request)
			}
			for _, near := range way.Related {
				if near.Time.Sub(way.Lines[0].Time) < -windowBefore-time.Second {
					t.Errorf("got a line of %v around a request of %v", near.Time, way.Lines[0].Time)
				}
			}
		}
	})
}
