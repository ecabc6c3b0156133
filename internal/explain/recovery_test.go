package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRecoveries guards against times of a recovery that belong to another loss, database or instance, or that are made up where the
// logs lack a phase.
func TestRecoveries(t *testing.T) {
	at := func(ms int) string {
		return time.Date(2026, 5, 16, 12, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	}
	believed := func(ms int, instance, state string) string {
		return fmt.Sprintf(`{"event":6006,"time":"%s","database":"d1","instance":"%s","state":"%s"}`+"\n", at(ms), instance, state)
	}
	judged := func(ms int, instance string) string {
		return fmt.Sprintf(`{"event":6007,"time":"%s","database":"d1","instance":"%s"}`+"\n", at(ms), instance)
	}
	ordered := func(ms int, instance string) string {
		return fmt.Sprintf(`{"event":6008,"time":"%s","database":"d1","instance":"%s"}`+"\n", at(ms), instance)
	}
	written := func(ms int, instance string) string {
		return fmt.Sprintf(`{"event":6049,"time":"%s","database":"d1","instance":"%s","request":"r"}`+"\n", at(ms), instance)
	}
	tests := map[string]struct {
		logs map[string]string
		want []string // one text for each recovery
	}{
		"nothing lost": {logs: map[string]string{"h1": believed(0, "i1", "led") + written(10, "i1")}},
		"a primary that leaves": {
			logs: map[string]string{"h1": judged(1000, "i1") + ordered(1100, "i2") + believed(1200, "i2", "led") + written(1300, "i2")},
		},
		"all phases": {
			logs: map[string]string{
				"h1": believed(1500, "i1", "silent") + judged(1700, "i1") + ordered(1800, "i2") + believed(2300, "i2", "led") + written(2400, "i2"),
				"h2": believed(1600, "i1", "silent") + believed(2100, "i2", "led") + written(2200, "i2"),
			},
			want: []string{"i1 to i2: noticed h1 500ms, agreed h1 200ms, ordered h1 100ms, confirmed h2 300ms; h1 known 200ms, served 100ms; h2 known 0s, served 100ms; first 1.2s h2"},
		},
		"no write": {
			logs: map[string]string{"h1": believed(1500, "i1", "silent") + judged(1700, "i1") + ordered(1800, "i2") + believed(2300, "i2", "led")},
			want: []string{"i1 to i2: noticed h1 500ms, agreed h1 200ms, ordered h1 100ms, confirmed h1 500ms; h1 known 0s"},
		},
		"not confirmed": {
			logs: map[string]string{"h1": believed(1500, "i1", "silent") + judged(1700, "i1") + ordered(1800, "i2")},
			want: []string{"i1 to i2: noticed h1 500ms, agreed h1 200ms, ordered h1 100ms"},
		},
		"served before the host logs that it knows": {
			logs: map[string]string{"h1": believed(1500, "i1", "silent") + judged(1700, "i1") + ordered(1800, "i2") + written(2200, "i2") + believed(2300, "i2", "led")},
			want: []string{"i1 to i2: noticed h1 500ms, agreed h1 200ms, ordered h1 100ms, confirmed h1 500ms; h1 known 0s, served 0s; first 1.2s h1"},
		},
		"lost twice": {
			logs: map[string]string{"h1": believed(1500, "i1", "silent") + judged(1700, "i1") + ordered(1800, "i2") + believed(2300, "i2", "led") + written(2400, "i2") +
				believed(9500, "i2", "silent") + judged(9600, "i2") + ordered(9700, "i1") + believed(9900, "i1", "led") + written(9950, "i1")},
			want: []string{
				"i1 to i2: noticed h1 500ms, agreed h1 200ms, ordered h1 100ms, confirmed h1 500ms; h1 known 0s, served 100ms; first 1.4s h1",
				"i2 to i1: noticed h1 500ms, agreed h1 100ms, ordered h1 100ms, confirmed h1 200ms; h1 known 0s, served 50ms; first 950ms h1",
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, r := range Recoveries(readLogs(t, test.logs)) {
				var parts []string
				for _, step := range r.Steps {
					parts = append(parts, fmt.Sprintf("%s %s %v", step.Phase, step.Host, step.Took))
				}
				text := fmt.Sprintf("%s to %s: %s", r.Lost, r.Next, strings.Join(parts, ", "))
				for _, h := range r.Hosts {
					parts = nil
					for _, step := range h.Steps {
						parts = append(parts, fmt.Sprintf("%s %v", step.Phase, step.Took))
					}
					text += fmt.Sprintf("; %s %s", h.Host, strings.Join(parts, ", "))
				}
				if after, host, found := r.FirstWrite(); found {
					text += fmt.Sprintf("; first %v %s", after, host)
				}
				got = append(got, text)
			}
			if strings.Join(got, "\n") != strings.Join(test.want, "\n") {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
		})
	}
}
