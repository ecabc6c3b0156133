package front

import (
	"testing"

	"redwingspread/internal/model"
)

// TestConfigurationHeard guards against a host that counts as outdated since an older word of the configuration arrived last, as from a
// slow store after another host.
func TestConfigurationHeard(t *testing.T) {
	tests := map[string]struct {
		heard []model.Instant
		want  int64
	}{
		"nothing":      {},
		"in order":     {heard: []model.Instant{3, 7}, want: 7},
		"out of order": {heard: []model.Instant{7, 3}, want: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New()
			for _, at := range test.heard {
				h.noteConfigurationHeard(at)
			}
			if got := h.configurationHeard.Load(); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// TestStartVersions guards against a process that brings withdrawn keys back into force since its first configuration is an old one,
// and one that refuses work at each later change.
func TestStartVersions(t *testing.T) {
	type step struct{ heard, inForce model.Version }
	tests := map[string]struct {
		steps []step // versions of the live hosts and of the process; zero for no word
		want  bool   // behind after the last step
	}{
		"no live host":                     {steps: []step{{0, 5}}},
		"level":                            {steps: []step{{5, 5}}},
		"older than that of a live host":   {steps: []step{{7, 5}}, want: true},
		"of the newest live host":          {steps: []step{{7, 5}, {5, 5}}, want: true},
		"heard late":                       {steps: []step{{0, 5}, {7, 5}}, want: true},
		"caught up":                        {steps: []step{{7, 5}, {7, 7}}},
		"a later change is no fault":       {steps: []step{{7, 7}, {9, 7}}},
		"newer than that of the live host": {steps: []step{{5, 7}, {7, 7}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v, got := startVersions{}, false
			for _, step := range test.steps {
				v.note(step.heard)
				got = v.behind(step.inForce)
			}
			if got != test.want {
				t.Errorf("got behind %v, want %v", got, test.want)
			}
		})
	}
}
