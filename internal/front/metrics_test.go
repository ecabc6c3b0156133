package front_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"redwingspread/platform/standin"
)

// uniqueMatches returns the first submatch of each match, sorted and without duplicates.
func uniqueMatches(pattern *regexp.Regexp, text string) []string {
	found := make(map[string]bool)
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found[match[1]] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// TestMetrics compares the names in a host's metrics with the operators' page.
func TestMetrics(t *testing.T) {
	f := newFleet(t, 1)
	if _, err := dial(f.hosts[0], "nothing"); err == nil {
		t.Error("got a session for an unknown kind of work, want a refusal to count")
	}
	f.run(f.openSession(f.hosts[0], "desk"), "WRITE w1 x1")
	idle := standin.Tenant{Name: "idle", APIKeys: []string{keyMark + "-i1"}, RatePerS: 0.001, Burst: 1}
	f.configureTenants(5, f.hosts, acme, idle)
	f.run(f.openKeyed(f.hosts[0], "desk", "w2", acme.APIKeys[0], "acme"), "READ w1")
	refused := make(chan bool)
	const atOnce = 20 // more than the few that the slack of the rule lets through within the time that they wait
	for i := range atOnce {
		s := f.openKeyed(f.hosts[0], "desk", fmt.Sprint("idle", i), idle.APIKeys[0], "idle")
		go func() {
			reply, err := s.Query("READ w1")
			refused <- err == nil && reply.Code == "BUSY"
		}()
	}
	count := 0
	for range atOnce {
		if <-refused {
			count++
		}
	}
	if count == 0 {
		t.Errorf("got no refusal of %d operations beyond the allowance, want some", atOnce)
	}
	response, err := http.Get("http://" + f.hosts[0].metrics)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		t.Fatal(err, closeErr)
	}
	if !regexp.MustCompile(`(?m)^placed{where="[a-z]+",reason="only"} [1-9]`).Match(text) {
		t.Errorf("got %s, want the write counted as placed", text)
	}
	for _, line := range []string{`tenant_operations{tenant="acme"} 1`, fmt.Sprintf(`tenant_refused{tenant="idle",code="allowance"} %d`, count)} {
		if !strings.Contains(string(text), line+"\n") {
			t.Errorf("got %s, want the line %s", text, line)
		}
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	section, _, _ := strings.Cut(string(page), "## A host with the HTTP interface")
	got := uniqueMatches(regexp.MustCompile(`(?m)^([a-z_]+)[{ ]`), string(text))
	want := uniqueMatches(regexp.MustCompile("(?m)^\\| `([a-z_]+)[{`]"), section)
	if !slices.Equal(got, want) {
		t.Errorf("got metrics %v, want those of the page %v", got, want)
	}
}
