package cli

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	directory := t.TempDir()
	log := filepath.Join(directory, "h1.log")
	line := `{"event":6010,"time":"2026-05-16T12:00:10Z","request":"r","kind":"k","instance":"i-1","code":"deadline","reason":"7 waiting"}` + "\n"
	line += `{"event":6006,"time":"2026-05-16T12:00:10.5Z","database":"d1","instance":"i1","state":"silent"}` + "\n" +
		`{"event":6007,"time":"2026-05-16T12:00:10.7Z","database":"d1","instance":"i1"}` + "\n" +
		`{"event":6008,"time":"2026-05-16T12:00:10.8Z","database":"d1","instance":"i2"}` + "\n" +
		`{"event":6006,"time":"2026-05-16T12:00:11.1Z","database":"d1","instance":"i2","state":"led"}` + "\n" +
		`{"event":6049,"time":"2026-05-16T12:00:11.2Z","database":"d1","instance":"i2","request":"q"}` + "\n"
	quiet := filepath.Join(directory, "quiet.log")
	if err := errors.Join(os.WriteFile(log, []byte(line), 0o600), os.WriteFile(quiet, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		arguments []string
		want      string // substring of the output
		code      int
	}{
		"a request":          {arguments: []string{"r", log}, want: "cause: i-1 had no capacity in time at h1: 7 waiting", code: exitOK},
		"an unknown request": {arguments: []string{"x", log}, want: "cause: no log has a line of it", code: exitOK},
		"no id":              {code: exitUsage},
		"recovery":           {arguments: []string{"--recovery", log}, want: "confirmed   1.100 s, took 0.300 s, h1\n  known       1.100 s, took 0.000 s, h1\n  served      1.200 s, took 0.100 s, h1\n  first write served after 1.200 s, by h1", code: exitOK},
		"recovery, no loss":  {arguments: []string{"--recovery", quiet}, want: "no loss of a primary", code: exitOK},
		"a missing log":      {arguments: []string{"r", filepath.Join(directory, "gone.log")}, code: exitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			root := newRoot()
			root.Writer = &out
			code := exitOK
			if err := root.Run(context.Background(), append([]string{"redwingspread", "explain"}, test.arguments...)); err != nil {
				code = exitCode(err)
			}
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("got exit code %d and %q, want %d and %q", code, out.String(), test.code, test.want)
			}
		})
	}
}
