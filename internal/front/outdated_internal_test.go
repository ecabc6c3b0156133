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
