package settings

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// mapSource is a source that is backed by a map.
type mapSource map[string]string

func (s mapSource) String(name string) string { return s[name] }

// validEndpoint returns valid settings of an endpoint with the changes applied.
func validEndpoint(changes mapSource) mapSource {
	source := mapSource{
		"instance": "seats-1", "database": "seats", "address": "127.0.0.1:7100",
		"slots": "2", "connections": "15", "connection-cost": "10ms", "service-time": "2ms",
		"lag": "10ms", "log-level": "info",
	}
	for name, value := range changes {
		source[name] = value
	}
	return source
}

func TestLoadEndpoint(t *testing.T) {
	tests := map[string]struct {
		changes mapSource
		want    []string // flags of the invalid settings
	}{
		"all valid":            {},
		"required one missing": {changes: mapSource{"instance": ""}, want: []string{"instance"}},
		"host name for IP":     {changes: mapSource{"address": "localhost:1"}, want: []string{"address"}},
		"below the minimum":    {changes: mapSource{"slots": "0"}, want: []string{"slots"}},
		"not a number":         {changes: mapSource{"connections": "many"}, want: []string{"connections"}},
		"duration too long":    {changes: mapSource{"lag": "2h"}, want: []string{"lag"}},
		"several at once":      {changes: mapSource{"slots": "x", "lag": "x", "log-level": "loud"}, want: []string{"slots", "lag", "log-level"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := LoadEndpoint(validEndpoint(test.changes))
			var problems Problems
			if err != nil && !errors.As(err, &problems) {
				t.Fatalf("got error %v, want Problems", err)
			}
			var got []string
			for _, problem := range problems {
				got = append(got, problem.Flag)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got invalid settings %v, want %v", got, test.want)
			}
		})
	}
}

func TestSecretStaysHidden(t *testing.T) {
	_, err := LoadServe(mapSource{"token-key": "too-short"})
	if err == nil {
		t.Fatal("got no error, want Problems")
	}
	if got := err.Error(); strings.Contains(got, "too-short") {
		t.Errorf("got %q, want the secret hidden", got)
	}
}

// emptySource is a source without values.
type emptySource struct{}

// String returns an empty value.
func (emptySource) String(string) string { return "" }

// TestSettingsFileLimits reads files that would keep the parser busy for seconds or take its memory, and files that only look so.
func TestSettingsFileLimits(t *testing.T) {
	tests := map[string]struct {
		content string
		want    error
		value   string // of the setting "host"
	}{
		"flat":                       {content: "host: h1\nlog-level: info\n", value: "h1"},
		"starts with a document":     {content: "---\nhost: h1\n", value: "h1"},
		"brackets in values":         {content: "host: \"h[1]\"\nmesh-address: \"[::1]:7003\"\n", value: "h[1]"},
		"nested lists":               {content: "host: " + strings.Repeat("[", 60000), want: errTooNested},
		"nested lists over lines":    {content: strings.Repeat("[\n", 1000), want: errTooNested},
		"nested mappings":            {content: strings.Repeat("{a: ", 1000), want: errTooNested},
		"nested entries on one line": {content: strings.Repeat("- ", 1000), want: errTooNested},
		"too large":                  {content: "host: " + strings.Repeat("h", fileLimit), want: errFileTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(path, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			values, err := Reloader{path: path, source: emptySource{}}.read()
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			if got := values["host"]; got != test.value {
				t.Errorf("got %q, want %q", got, test.value)
			}
		})
	}
}
