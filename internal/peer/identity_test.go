package peer

import (
	"context"
	"testing"

	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/peerapi"
)

// fakeControl counts the heartbeats that it receives.
type fakeControl struct {
	Control
	heartbeats int
}

func (c *fakeControl) Heartbeat(context.Context, fleet.Heartbeat) (fleet.Heartbeat, error) {
	c.heartbeats++
	return fleet.Heartbeat{From: "host-1"}, nil
}

func TestHeartbeatSenderMatchesCertificate(t *testing.T) {
	tests := map[string]struct {
		certificate model.HostID // host in the certificate; empty for no certificate
		from        string
		want        int // heartbeats that reach Control
	}{
		"own name":             {certificate: "host-2", from: "host-2", want: 1},
		"name of another host": {certificate: "host-2", from: "host-3", want: 0},
		"no certificate":       {from: "host-2", want: 0},
		"empty name":           {certificate: "host-2", want: 0},
		"name with a space":    {certificate: "host-2", from: "host-2 ", want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			control := &fakeControl{}
			handler := &handler{server: &Server{Control: control}}
			ctx := t.Context()
			if test.certificate != "" {
				ctx = withSender(ctx, test.certificate)
			}
			_, err := handler.Heartbeat(ctx, &peerapi.Heartbeat{From: test.from})
			if got := control.heartbeats; got != test.want {
				t.Errorf("got %d heartbeats, want %d", got, test.want)
			}
			if got := err == nil; got != (test.want == 1) {
				t.Errorf("got error %v, want one %v", err, test.want == 0)
			}
		})
	}
}
