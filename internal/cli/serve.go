package cli

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/daemon"
	"redwingspread/internal/settings"
)

// newServe returns the command that runs one host of the system.
func newServe() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run one host of the system",
		Flags:  settings.ServeFlags(),
		Action: runServe,
	}
}

// runServe runs the daemon until the process receives a signal to stop.
func runServe(ctx context.Context, command *cli.Command) error {
	loaded, err := settings.LoadServe(command)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(loaded.Memory) << 20 * memoryLimitPercent / 100)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host := daemon.New()
	host.Settings = loaded
	host.Logger = newLogger(loaded.LogLevel)
	host.Keys, err = loadKeys(loaded)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go host.Run(ctx, done)
	return <-done
}
