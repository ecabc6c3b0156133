package auth

import (
	"strings"
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/settings"
)

func TestFirstOperator(t *testing.T) {
	tests := map[string]struct {
		hash string
		fail bool
	}{
		"none":                      {"", false},
		"hash":                      {Hash("rws_x"), false},
		"token instead of its hash": {NewToken(), true},
		"truncated hash":            {Hash("rws_x")[:62], true},
		"plain text":                {"first operator", true},
		"hash with a newline":       {Hash("rws_x") + "\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			token, err := FirstOperator(settings.Serve{FirstOperator: test.hash})
			if got := err != nil; got != test.fail {
				t.Fatalf("got %v, want an error %v", err, test.fail)
			}
			if err == nil && token.Hash != test.hash {
				t.Errorf("got hash %q, want %q", token.Hash, test.hash)
			}
			if err != nil && strings.Contains(err.Error(), test.hash) {
				t.Errorf("got %v, want the value hidden", err)
			}
		})
	}
}

func TestOpenAccess(t *testing.T) {
	tests := map[string]struct {
		guard            string
		caller, operator model.Address
		want, fail       bool
	}{
		"tokens":                        {"tokens", "0.0.0.0:1", "0.0.0.0:2", false, false},
		"loopback":                      {"open", "127.0.0.1:1", "[::1]:2", true, false},
		"caller address not loopback":   {"open", "0.0.0.0:1", "127.0.0.1:2", false, true},
		"operator address not loopback": {"open", "127.0.0.1:1", "10.0.0.7:2", false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := OpenAccess(settings.Serve{Guard: test.guard, CallerAddress: test.caller, OperatorAddress: test.operator})
			if got != test.want || (err != nil) != test.fail {
				t.Errorf("got %v (%v), want %v and an error %v", got, err, test.want, test.fail)
			}
		})
	}
}
