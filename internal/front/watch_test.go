package front_test

import (
	"fmt"
	"strings"
	"testing"

	"redwingspread/platform/standin"
)

// TestGoneCallersAreNotServed guards against statements that are sent after their callers have reset their connections, with the line
// protocol from end to end: writes wait behind others that the instance holds up, and their callers leave. A caller that has sent two
// writes ahead and only closed its sending side is answered.
func TestGoneCallersAreNotServed(t *testing.T) {
	f := newFleet(t, 1)
	routes := standin.SampleRoutes("seats")
	routes[0].GoalMs, routes[0].TimeoutMs = 60_000, 60_000
	f.cloud.Configure(4, routes...)
	host := f.hosts[0]
	f.eventually("the configuration is in force", func() bool { return f.metric(host, "configuration_version") == 4 })
	reached, release := &record{}, make(chan struct{})
	f.database.SetOnLine(func(line string) {
		if strings.Contains(line, "WRITE ") {
			_, _ = fmt.Fprintln(reached, line)
			<-release
		}
	})
	const held, gone = 24, 6 // the instance takes 16 connections
	write := func(name string) *standin.Session {
		s := f.openSession(host, "desk")
		before := f.metric(host, "requests")
		if err := s.Send("QUERY 1 WRITE " + name + " x\r\n"); err != nil {
			t.Fatal(err)
		}
		f.eventually("the host has the request", func() bool { return f.metric(host, "requests") > before })
		return s
	}
	sessions := make([]*standin.Session, held)
	for i := range sessions {
		sessions[i] = write(fmt.Sprintf("held%d", i))
	}
	halfClosed := write("held-half")
	if err := halfClosed.Send("QUERY 2 WRITE held-ahead x\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := halfClosed.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for i := range gone {
		if err := write(fmt.Sprintf("gone%d", i)).Reset(); err != nil {
			t.Fatal(err)
		}
	}
	f.eventually("the statements are given up", func() bool { return f.metric(host, "callers_gone") == gone })
	close(release)
	for i, s := range append(sessions, halfClosed, halfClosed) {
		if got, err := s.Receive(); err != nil || got.Code != "" {
			t.Errorf("got %+v, %v for held%d, want success", got, err, i)
		}
	}
	if lines := reached.String(); strings.Contains(lines, "gone") || !strings.Contains(lines, "held") {
		t.Error("got statements of callers that had gone at the instance, want none")
	}
}
