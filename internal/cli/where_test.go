package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"redwingspread/pkg/api/frontapi"
)

// TestWhere guards against an answer of a host that is printed without its reason, or taken for a failure.
func TestWhere(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Query().Get("kind") != "desk" {
			http.Error(w, `{"message":"no such kind"}`, http.StatusNotFound)
			return
		}
		body, err := (&frontapi.Placement{Host: "h1", Instance: "i1", Reason: "late", Candidates: []frontapi.Candidate{{Instance: "i2", RuledOut: "behind", LagUs: 2000}}}).MarshalJSON()
		if err == nil {
			_, err = w.Write(body)
		}
		if err != nil {
			t.Error(err)
		}
	}))
	defer host.Close()
	address := "--metrics-address=" + strings.TrimPrefix(host.URL, "http://")
	tests := map[string]struct {
		arguments []string
		code      int
		want      []string
	}{
		"text":         {[]string{"desk"}, exitOK, []string{"goes to i1 (late)", "i2", "behind", "2ms"}},
		"json":         {[]string{"--output", "json", "desk"}, exitOK, []string{`"reason": "late"`, `"ruledOut": "behind"`}},
		"unknown kind": {[]string{"nothing"}, exitFailed, nil},
		"no kind":      {nil, exitUsage, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			root := newRoot()
			root.Writer = &out
			code := exitOK
			if err := root.Run(t.Context(), append([]string{"redwingspread", "where", address}, test.arguments...)); err != nil {
				code = exitCode(err)
			}
			if code != test.code {
				t.Errorf("got exit code %d, want %d", code, test.code)
			}
			for _, want := range test.want {
				if got := out.String(); !strings.Contains(got, want) {
					t.Errorf("got %s, want %q in it", got, want)
				}
			}
		})
	}
}
