package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"redwingspread/internal/event"
	"redwingspread/internal/front"
	"redwingspread/internal/settings"
	"redwingspread/internal/sink"
	"redwingspread/platform"
)

// newFront returns the command that runs one host on the users' platform.
func newFront() *cli.Command {
	return &cli.Command{
		Name:   "front",
		Usage:  "run one host that serves sessions on the users' platform",
		Flags:  append(settings.FrontFlags(), settings.FileFlag()),
		Action: runFront,
	}
}

// memoryLimitPercent is the part of the allowed memory, in percent, from which the collector works harder.
const memoryLimitPercent = 70

// runFront runs the host until the process is told to stop.
func runFront(ctx context.Context, command *cli.Command) (err error) {
	file, loaded, err := settings.LoadFrontFile(command)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(loaded.Memory) << 20 * memoryLimitPercent / 100)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines := sink.New()
	lines.Out = os.Stdout
	logger := &log.Logger{Handler: lines, Level: log.MustParseLevel(loaded.LogLevel)}
	host := front.New()
	host.Settings = loaded
	host.Logger = logger
	host.SetDroppedLines(lines.Dropped)
	client, err := platform.New(loaded.StoreAddress, loaded.OrderAddress)
	if err != nil {
		return err
	}
	client.Logger = logger
	if client.Regions, err = settings.Regions(loaded.DataCentres); err != nil {
		return err
	}
	host.Platform = client
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	written, reloaded, done := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go lines.Run(life, written)
	go reloadOnHangup(life, file, loaded, logger, reloaded)
	go host.Run(ctx, done)
	err = <-done
	if err != nil {
		event.Failed(logger, string(loaded.Host), err)
	}
	end()
	<-reloaded
	<-written
	return err
}

// reloadOnHangup reads the settings again at each signal to do so until the context ends, and reports its end on done.
//
// The level of the log changes at once; other settings are those of the process's life, and the log says so.
func reloadOnHangup(ctx context.Context, file settings.File, loaded settings.Front, logger *log.Logger, done chan<- error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-hangups:
		}
		next, err := file.Reload()
		switch {
		case err != nil:
			event.SettingsReloaded(logger, "refused: "+err.Error())
		case next.LogLevel != loaded.LogLevel:
			event.SettingsReloaded(logger, "log level; other settings change at the next start")
			logger.Level = log.MustParseLevel(next.LogLevel)
		default:
			event.SettingsReloaded(logger, "none that change while the process runs")
		}
		if err == nil {
			loaded = next
		}
	}
}
