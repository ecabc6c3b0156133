package front_test

import (
	"testing"

	"redwingspread/pkg/api/frontapi"
)

// TestWhere guards against an answer that differs from what the host then does, and against a question that counts as a statement.
func TestWhere(t *testing.T) {
	f := newFleet(t, 1)
	client, err := frontapi.NewClient("http://" + f.hosts[0].metrics)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		params   frontapi.GetPlacementParams
		reason   string
		ruledOut int // candidates
	}{
		"read of the newest data": {frontapi.GetPlacementParams{Kind: "desk"}, "only", 2},
		"write":                   {frontapi.GetPlacementParams{Kind: "view", Write: frontapi.NewOptBool(true)}, "only", 2},
		"unknown kind":            {params: frontapi.GetPlacementParams{Kind: "nothing"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := client.GetPlacement(t.Context(), test.params)
			if want := test.reason != ""; (err == nil) != want {
				t.Fatalf("got %+v, %v, want a placement: %t", got, err, want)
			}
			if err != nil {
				return
			}
			ruledOut := 0
			for _, c := range got.Candidates {
				if c.RuledOut != "" {
					ruledOut++
				} else if c.Instance != got.Instance || !c.Primary {
					t.Errorf("got %+v as a candidate and instance %s, want the primary", c, got.Instance)
				}
			}
			if got.Reason != test.reason || ruledOut != test.ruledOut || len(got.Candidates) != 3 {
				t.Errorf("got %+v, want reason %q and %d of 3 ruled out", got, test.reason, test.ruledOut)
			}
		})
	}
}
