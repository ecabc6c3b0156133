package front

import (
	"context"
	"errors"
	"testing"

	"redwingspread/internal/directory"
	"redwingspread/internal/model"
)

// TestRefusedConnectionAndSilence guards against an instance that counts as responding though another one answers at its address: its
// loss as the primary would go unnoticed.
func TestRefusedConnectionAndSilence(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"no answer":               {err: errors.New("connection refused"), want: true},
		"another instance":        {err: model.Refuse(model.CodeWrongInstance, "i-2"), want: true},
		"another protocol":        {err: model.Refuse(model.CodeInternal, "HTTP/1.1 is no part of an answer"), want: true},
		"limit of connections":    {err: model.Refuse(model.CodeConnectionsFull, "i-1")},
		"limit of work":           {err: model.Refuse(model.CodeOverloaded, "i-1")},
		"message that is refused": {err: model.Refuse(model.CodeInvalid, "i-1")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &backend{dial: func(context.Context, directory.Instance, model.TenantID) (InstanceConn, error) { return nil, test.err }}
			if _, err := b.open(context.Background(), ""); !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if got := !b.health.SilentSince.IsZero(); got != test.want {
				t.Errorf("got silent: %v, want %v", got, test.want)
			}
		})
	}
}
