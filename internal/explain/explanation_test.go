package explain

import (
	"strings"
	"testing"
	"time"
)

// readLogs returns the lines of the logs, given by host.
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

func TestExplain(t *testing.T) {
	const (
		oldDirectory = `{"event":6001,"time":"2026-05-16T12:00:00Z","version":3}` + "\n"
		newDirectory = `{"event":6001,"time":"2026-05-16T12:00:08Z","version":5}` + "\n"
		appeared     = `{"event":6002,"time":"2026-05-16T11:50:00Z","instance":"i-1","database":"d1"}` + "\n"
		judged       = `{"event":6007,"time":"2026-05-16T12:00:09Z","message":"a primary is to be replaced","instance":"i-1","database":"d1","reason":"silent"}` + "\n"
		otherJudged  = `{"event":6007,"time":"2026-05-16T12:00:09Z","instance":"i-9","database":"d9","reason":"silent"}` + "\n"
		refused      = `{"event":6010,"time":"2026-05-16T12:00:10Z","request":"r","kind":"k","instance":"i-1",`
		unsure       = `{"event":6012,"time":"2026-05-16T12:00:10Z","request":"r","kind":"k","instance":"i-1","reason":"read: i/o timeout"}` + "\n"
	)
	tests := map[string]struct {
		logs    map[string]string
		cause   string // substring of the cause
		lines   int
		related int
	}{
		"no line": {
			logs: map[string]string{"h1": oldDirectory}, cause: "no log has a line of it",
		},
		"no line, and a host that was killed": {
			logs:  map[string]string{"h1": `{"event":1001,"time":"2026-05-16T12:00:00Z"}` + "\n" + `{"event":1001,"time":"2026-05-16T12:00:09Z"}` + "\n"},
			cause: "1 ends of 1 hosts",
		},
		"a session refused at its start": {
			logs:  map[string]string{"h1": `{"event":6019,"time":"2026-05-16T12:00:09Z","kind":"k","code":"unavailable","reason":"just started"}`},
			cause: "h1 refused the session: just started", lines: 1,
		},
		"a session refused by a host with an outdated configuration": {
			logs:  map[string]string{"h1": oldDirectory + `{"event":6019,"time":"2026-05-16T12:00:09Z","kind":"k","code":"unknown_database"}`, "h2": newDirectory},
			cause: "h1 had version 3 of the configuration while h2 had version 5", lines: 1,
		},
		"overload": {
			logs:  map[string]string{"h1": refused + `"code":"deadline","reason":"7 waiting, 2 of 2 running"}`},
			cause: "i-1 had no capacity in time at h1: 7 waiting, 2 of 2 running", lines: 1,
		},
		"beyond the tenant's allowance": {
			logs:  map[string]string{"h1": newDirectory + refused + `"code":"allowance","reason":"tenant acme has used up its allowance: 100 a second and 160 at once in version 5"}`},
			cause: "h1 refused it: tenant acme has used up its allowance: 100 a second and 160 at once in version 5", lines: 1, related: 1,
		},
		"beyond the allowance of an outdated configuration": {
			logs: map[string]string{
				"h1": oldDirectory + refused + `"code":"allowance","reason":"no token of the allowance of tenant acme came in time: 1 a second and 1 at once in version 3"}`,
				"h2": newDirectory,
			},
			cause: "tenant acme came in time: 1 a second and 1 at once in version 3, while h2 had version 5", lines: 1,
		},
		"overload since replicas lag": {
			logs: map[string]string{"h1": `{"event":6011,"time":"2026-05-16T12:00:09.9Z","request":"r","instance":"i-2","reason":"behind"}` + "\n" +
				refused + `"code":"overloaded","reason":"full"}`},
			cause: "replicas lagged", lines: 2,
		},
		"a change of primary that another host judged": {
			logs:  map[string]string{"h1": refused + `"code":"unavailable","reason":"the primary is lost"}`, "h2": appeared + judged + otherJudged},
			cause: "the primary of d1 was being replaced", lines: 1, related: 1,
		},
		"an unknown primary": {
			logs: map[string]string{"h1": `{"event":6006,"time":"2026-05-16T12:00:09Z","instance":"i-1","database":"d1","state":"silent"}` + "\n" +
				refused + `"code":"unavailable","reason":"no primary is known"}`},
			cause: "h1 knew no working primary of d1 (silent)", lines: 1, related: 1,
		},
		"a working primary": {
			logs: map[string]string{"h1": `{"event":6006,"time":"2026-05-16T12:00:09Z","instance":"i-1","database":"d1","state":"led"}` + "\n" +
				refused + `"code":"unavailable","reason":"each instance has failed"}`},
			cause: "no instance was suitable: each instance has failed", lines: 1, related: 1,
		},
		"unknown outcome during a change of primary": {
			logs: map[string]string{"h1": unsure, "h2": appeared + judged}, cause: "while the primary of d1 was being replaced", lines: 1, related: 1,
		},
		"unknown outcome without a change of primary": {
			logs: map[string]string{"h1": unsure, "h2": otherJudged}, cause: "ended before the response: read: i/o timeout", lines: 1,
		},
		"an outdated configuration": {
			logs:  map[string]string{"h1": oldDirectory + refused + `"code":"unknown_database"}`, "h2": newDirectory},
			cause: "h1 had version 3 of the configuration while h2 had version 5", lines: 1,
		},
		"a kind of work that does not exist": {
			logs:  map[string]string{"h1": newDirectory + refused + `"code":"unknown_database"}`, "h2": oldDirectory},
			cause: "version 5 of the configuration has no kind of work with this name", lines: 1, related: 1,
		},
		"a withdrawn key": {
			logs:  map[string]string{"h1": oldDirectory + refused + `"code":"unauthorized","reason":"no tenant has this API key"}`, "h2": newDirectory},
			cause: "h1 had version 3 of the configuration while h2 had version 5", lines: 1,
		},
		"an unknown key": {
			logs:  map[string]string{"h1": newDirectory + refused + `"code":"unauthorized","reason":"no tenant has this API key"}`, "h2": newDirectory},
			cause: "version 5 of the configuration has no tenant with this API key", lines: 1, related: 1,
		},
		"a transaction that ended": {
			logs: map[string]string{"h1": refused + `"code":"transaction_ended","reason":"EOF"}`}, cause: "its transaction ended at i-1", lines: 1,
		},
		"a stopping host": {
			logs:  map[string]string{"h1": `{"event":1002,"time":"2026-05-16T12:00:09Z"}` + "\n" + refused + `"code":"stopping"}`},
			cause: "h1 was stopping", lines: 1, related: 1,
		},
		"the instance's own refusal": {
			logs: map[string]string{"h1": refused + `"code":"failed","reason":"x"}`}, cause: "i-1 refused it as failed: x", lines: 1,
		},
		"lines with a collector's prefix": {
			logs:  map[string]string{"all": "  10.1 h7 " + refused + `"code":"deadline","reason":"full"}`},
			cause: "no capacity in time at h7", lines: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Explain(Query{Request: "r", Kind: "k"}, readLogs(t, test.logs))
			if !strings.Contains(got.Cause, test.cause) {
				t.Errorf("got cause %q, want it to say %q", got.Cause, test.cause)
			}
			if len(got.Lines) != test.lines || len(got.Related) != test.related {
				t.Errorf("got %d lines and %d related ones, want %d and %d", len(got.Lines), len(got.Related), test.lines, test.related)
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
		"truncated":     {log: `{"event":6010,"request":"r`, skipped: 1},
		"other JSON":    {log: `{"a":1}`, skipped: 1},
		"wrong types":   {log: `{"event":6010,"request":7}`, skipped: 1},
		"one line":      {log: `{"event":6010,"request":"r"}`, lines: 1},
		"too long":      {log: strings.Repeat("x", maxLineBytes+1), fails: true},
		"binary, lines": {log: "\x00\xff{\n" + `{"event":1001}` + "\n", lines: 1, skipped: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines, skipped, err := Read("h1", strings.NewReader(test.log))
			if len(lines) != test.lines || skipped != test.skipped || (err != nil) != test.fails {
				t.Errorf("got %d lines, %d skipped, error %v; want %d, %d, an error: %v", len(lines), skipped, err, test.lines, test.skipped, test.fails)
			}
		})
	}
}

// FuzzRead reads arbitrary bytes as a log and explains every request in it.
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
			explanation := Explain(Query{Request: line.Request}, lines)
			if len(explanation.Lines) == 0 || explanation.Cause == "" {
				t.Errorf("got %d lines and cause %q of request %q, want both", len(explanation.Lines), explanation.Cause, line.Request)
			}
			for _, related := range explanation.Related {
				if related.Time.Sub(explanation.Lines[0].Time) < -windowBefore-time.Second {
					t.Errorf("got a related line of %v for a request of %v", related.Time, explanation.Lines[0].Time)
				}
			}
		}
	})
}
