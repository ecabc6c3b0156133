package front

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"redwingspread/internal/model"
)

// TestTenantCounters guards against metrics that grow without bound with the tenants, and against counts that get lost beyond the bound.
func TestTenantCounters(t *testing.T) {
	tests := map[string]struct {
		tenants int
		lines   int    // lines of operations
		last    string // line of the tenants without a label; empty for none
	}{
		"none":            {},
		"few":             {tenants: 3, lines: 3},
		"as many as fit":  {tenants: maxTenantLabels, lines: maxTenantLabels},
		"thousands":       {tenants: 5000, lines: maxTenantLabels + 1, last: fmt.Sprintf("tenant_operations{tenant=\"other tenants\"} %d\n", 2*(5000-maxTenantLabels))},
		"one beyond that": {tenants: maxTenantLabels + 1, lines: maxTenantLabels + 1, last: "tenant_operations{tenant=\"other tenants\"} 2\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			counters := &tenantCounters{}
			for range 2 {
				for i := range test.tenants {
					counters.countOperation(model.TenantID(fmt.Sprint("t", i)))
				}
			}
			var text bytes.Buffer
			if err := counters.writeText(&text); err != nil {
				t.Fatal(err)
			}
			if got := strings.Count(text.String(), "tenant_operations{"); got != test.lines {
				t.Errorf("got %d lines, want %d", got, test.lines)
			}
			if !strings.Contains(text.String(), test.last) {
				t.Errorf("got no line %q, want one", test.last)
			}
		})
	}
}

// TestTenantRefusals guards against refusals that are counted for another tenant or code.
func TestTenantRefusals(t *testing.T) {
	counters := &tenantCounters{}
	counters.countRefusal("a", model.CodeAllowance)
	counters.countRefusal("a", model.CodeAllowance)
	counters.countRefusal("a", model.CodeDeadline)
	counters.countOperation("b")
	want := "tenant_operations{tenant=\"a\"} 0\ntenant_refused{tenant=\"a\",code=\"allowance\"} 2\ntenant_refused{tenant=\"a\",code=\"deadline\"} 1\n" +
		"tenant_operations{tenant=\"b\"} 1\n"
	var text bytes.Buffer
	if err := counters.writeText(&text); err != nil {
		t.Fatal(err)
	}
	if got := text.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
