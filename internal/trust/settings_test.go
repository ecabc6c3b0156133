package trust

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/settings"
)

func TestConfigured(t *testing.T) {
	material, err := authority(t, time.Now()).Sign("a", loopback, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "key.pem")
	if err := os.WriteFile(file, []byte(material.Key), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		certificate, key, authorities string
		some                          bool
		want                          string // part of the error
	}{
		"none":         {},
		"PEM":          {material.Certificate, material.Key, material.Authorities, true, ""},
		"key in file":  {material.Certificate, file, material.Authorities, true, ""},
		"no such file": {material.Certificate, file + "x", material.Authorities, false, "setting key"},
		"key missing":  {material.Certificate, "", material.Authorities, false, "belong together"},
		"no authority": {material.Certificate, material.Key, "", false, "setting authorities"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keys, err := Configured(settings.Serve{
				Certificate: test.certificate, Key: settings.Secret(test.key), Authorities: test.authorities,
			})
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
			if got := keys != nil; got != test.some {
				t.Errorf("got keys %v, want %v", got, test.some)
			}
		})
	}
}

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
