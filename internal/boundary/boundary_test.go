package boundary

import (
	"errors"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	failed := errors.New("failed")
	tests := map[string]struct {
		call func() error
		want error
		text string
	}{
		"succeeds":             {call: func() error { return nil }},
		"fails":                {call: func() error { return failed }, want: failed},
		"panics":               {call: func() error { panic("odd message") }, want: ErrPanic, text: "odd message"},
		"panics at runtime":    {call: func() error { var list []int; _ = list[len(list)]; return nil }, want: ErrPanic, text: "index out of range"},
		"panics with an error": {call: func() error { panic(failed) }, want: ErrPanic, text: "failed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := Run(test.call)
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if test.text != "" && !strings.Contains(err.Error(), test.text) {
				t.Errorf("got %v, want it to name %q", err, test.text)
			}
		})
	}
}
