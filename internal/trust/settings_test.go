package trust

import (
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/settings"
)

func TestOpen(t *testing.T) {
	tests := map[string]struct {
		guard            string
		caller, operator model.Address
		want, fail       bool
	}{
		"tokens":           {"tokens", "0.0.0.0:1", "0.0.0.0:2", false, false},
		"loopback":         {"open", "127.0.0.1:1", "[::1]:2", true, false},
		"callers outside":  {"open", "0.0.0.0:1", "127.0.0.1:2", false, true},
		"operator outside": {"open", "127.0.0.1:1", "10.0.0.7:2", false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Open(settings.Serve{Guard: test.guard, CallerAddress: test.caller, OperatorAddress: test.operator})
			if got != test.want || (err != nil) != test.fail {
				t.Errorf("got %v (%v), want %v and an error %v", got, err, test.want, test.fail)
			}
		})
	}
}
