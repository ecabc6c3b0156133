package settings

import (
	"errors"
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
