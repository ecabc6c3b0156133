package demo

import (
	"bytes"
	"strings"
	"testing"
)

func TestDemo(t *testing.T) {
	var out bytes.Buffer
	demo := New()
	demo.Out = &out
	if err := demo.Run(t.Context()); err != nil {
		t.Fatalf("got %v, want no error; output:\n%s", err, out.String())
	}
	tests := map[string]struct{ want string }{
		"payment read through another host": {want: "seat       through authority-host-2"},
		"returned lamp in the catalogue":    {want: "catalogue  through library-host-3"},
		"replicas serve reads":              {want: "replica share of"},
		"writes resume after a crash":       {want: "writes go on"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := out.String(); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want it to contain %q", got, test.want)
			}
		})
	}
}
