package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMeasureSizes guards against bounds of other sizes than those in the file, such as of a misspelled one that is left out.
func TestMeasureSizes(t *testing.T) {
	const deployment = "databases: 1\ninstances: 3\nslots: 2\nconnections: 10\ntrip: 10ms\n"
	const kinds = "kinds:\n  - {name: desk, rate: 300, work: 20ms, writes: 0.2, goal: 1s, deadline: 3s, value: 1, late: 0.5}\n"
	const phases = "phases:\n  - {name: calm, start: 0s, length: 10s}\n  - {name: burst, start: 10s, length: 10s, factor: {desk: 2}, lost: 1, slow: 1, times: 2}\n"
	tests := map[string]struct {
		file   string
		output string
		code   int
		want   []string
	}{
		"text": {file: deployment + kinds + phases, want: []string{"calm", "6.0 of 6.0", "12.0 of 3.0", "slots", "30.0 %", "10.0 %", "60.0 %"}},
		"json": {
			file: deployment + kinds + phases, output: "json",
			want: []string{`"bottleneck": "slots"`, `"arrived": 6000`, `"intime": 0.3`, `"resource": "primaries' slots"`, `"name": "total"`},
		},
		"misspelled size":   {file: deployment + "slot: 3\n" + kinds + phases, code: exitFailed},
		"time without unit": {file: strings.Replace(deployment, "10ms", "10", 1) + kinds + phases, code: exitFailed},
		"unknown kind":      {file: deployment + phases, code: exitFailed},
		"no file":           {code: exitFailed},
		"unknown output":    {file: deployment + kinds + phases, output: "xml", code: exitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "sizes.yaml")
			if test.file != "" {
				if err := os.WriteFile(path, []byte(test.file), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			root := newRoot()
			root.Writer, root.ErrWriter = &out, &strings.Builder{}
			arguments := []string{"redwingspread", "measure", "--sizes", path}
			if test.output != "" {
				arguments = append(arguments, "--output", test.output)
			}
			err := root.Run(t.Context(), arguments)
			if (err != nil) != (test.code != exitOK) {
				t.Fatalf("got %v, want exit code %d", err, test.code)
			}
			for _, want := range test.want {
				if got := out.String(); !strings.Contains(got, want) {
					t.Errorf("got %s, want %q in it", got, want)
				}
			}
		})
	}
}

// TestSizesOfThePage guards against an example of the operators' page that can't be read any more.
func TestSizesOfThePage(t *testing.T) {
	sizes, err := readSizes("../../docs/sizes/routes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if got := len(sizes.Calculate().Phases); got != len(sizes.Phases) || got == 0 {
		t.Errorf("got %d phases, want %d", got, len(sizes.Phases))
	}
}
