package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"redwingspread/internal/event"
	"redwingspread/internal/settings"
	"redwingspread/internal/sink"
)

// frontArguments are the settings without a default of a host.
var frontArguments = []string{"front",
	"--host", "h1", "--data-centre", "east-a", "--data-centres", "east-a=east", "--session-address", "127.0.0.1:7001",
	"--ready-address", "127.0.0.1:7002", "--mesh-address", "127.0.0.1:7003", "--store-address", "127.0.0.1:7004",
	"--order-address", "127.0.0.1:7005",
}

// lineWriter passes each write on.
type lineWriter chan string

// Write passes a copy on.
func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// TestReloadWhileOthersLog changes the settings file of a host that logs, and sends the signal to reload it.
func TestReloadWhileOthersLog(t *testing.T) {
	tests := map[string]struct {
		content string // of the settings file at the reload
		want    bool   // debug events are written afterwards
	}{
		"another level":       {content: "log-level: debug\n", want: true},
		"the same level":      {content: "log-level: info\n"},
		"unknown level":       {content: "log-level: loud\n"},
		"not a settings file": {content: "[[[["},
		"deeply nested":       {content: "log-level: " + strings.Repeat("[", 20000)},
		"another type":        {content: "log-level: [debug]\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.yaml")
			if err := os.WriteFile(path, []byte("log-level: info\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			command := newFront()
			command.Writer, command.ErrWriter = io.Discard, io.Discard
			command.Action = func(_ context.Context, command *cli.Command) error {
				checkReload(t, command, path, test.content, test.want)
				return nil
			}
			if err := command.Run(t.Context(), append(frontArguments, "--settings", path)); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// checkReload reloads the settings of the command from the file's new content while debug events are logged.
func checkReload(t *testing.T, command *cli.Command, path, content string, want bool) {
	file, loaded, err := settings.LoadFrontWithFile(command)
	if err != nil {
		t.Fatal(err)
	}
	out := make(lineWriter, 1000)
	logSink := sink.New()
	logSink.Out = out
	logger := &log.Logger{Handler: logSink, Level: log.DebugLevel}
	ctx, cancel := context.WithCancel(t.Context())
	written, reloaded := make(chan error, 1), make(chan error, 1)
	guard := make(chan os.Signal, 1) // keeps the signal from ending the test before the reload is ready for it
	signal.Notify(guard, syscall.SIGHUP)
	defer signal.Stop(guard)
	go logSink.Run(ctx, written)
	go reloadOnHangup(ctx, file, loaded, logSink, logger, reloaded)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	line := ""
	for deadline := time.Now().Add(10 * time.Second); line == "" && time.Now().Before(deadline); {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		event.RequestServed(logger, "r1", "k1", "i0", 0, 0)
		select {
		case line = <-out:
		case <-time.After(50 * time.Millisecond):
		}
	}
	if line == "" {
		t.Error("got no event of the reload, want one")
	}
	got := false
	for deadline := time.Now().Add(10 * time.Second); !got && time.Now().Before(deadline); {
		event.RequestServed(logger, "last", "k1", "i0", 0, 0)
		select {
		case line := <-out:
			got = strings.Contains(line, `"last"`)
		case <-time.After(50 * time.Millisecond):
		}
		if !want {
			break // the level was in force before the event of the reload
		}
	}
	if got != want {
		t.Errorf("got debug events written after the reload: %v, want %v", got, want)
	}
	cancel()
	<-reloaded
	<-written
}
