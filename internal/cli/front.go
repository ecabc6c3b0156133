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

// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the allowed memory; the garbage collector
// runs more often near it.
const memoryLimitPercent = 70

// halfCloseGone is the value of the setting half-close for callers that are gone once they send no more.
const halfCloseGone = "gone"

// runFront runs the host until the process receives a signal to stop.
func runFront(ctx context.Context, command *cli.Command) (err error) {
	file, loaded, err := settings.LoadFrontWithFile(command)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(loaded.Memory) << 20 * memoryLimitPercent / 100)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logSink := sink.New()
	logSink.Out = os.Stdout
	logSink.SetLevel(log.MustParseLevel(loaded.LogLevel))
	logger := &log.Logger{Handler: logSink, Level: log.DebugLevel} // the sink's level counts, since it may change
	host := front.New()
	host.Settings = loaded
	host.Logger = logger
	host.StartLimit.GoalShare, host.StartLimit.DeadlineShare = loaded.WaitGoalShare, loaded.WaitDeadlineShare
	host.StartLimit.ExpectedShare = loaded.WaitExpectedShare
	host.RetryBudget = loaded.RetryBudget
	host.SetDroppedLines(logSink.Dropped)
	client, err := platform.New(loaded.StoreAddress, loaded.OrderAddress)
	if err != nil {
		return err
	}
	client.Logger = logger
	client.HalfCloseEnds = loaded.HalfClose == halfCloseGone
	if client.Regions, err = settings.ParseRegions(loaded.DataCentres); err != nil {
		return err
	}
	host.Memory = front.NewBudget(loaded, logger)
	client.Memory = host.Memory
	host.Platform = client
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	logFlushed, reloadEnded, done := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go logSink.Run(background, logFlushed)
	go reloadOnHangup(background, file, loaded, logSink, logger, reloadEnded)
	go host.Run(ctx, done)
	err = <-done
	if err != nil {
		event.Failed(logger, string(loaded.Host), err)
	}
	stopBackground()
	<-reloadEnded
	<-logFlushed
	return err
}

// reloadOnHangup reloads the settings at each SIGHUP until the context ends, then sends the context's error on done.
//
// Only the log level takes effect at once; other settings need a restart, and the logged event says so.
func reloadOnHangup(ctx context.Context, file settings.Reloader, loaded settings.Front, logSink *sink.Sink, logger log.Interface, done chan<- error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			done <- ctx.Err()
			return
		case <-signals:
		}
		next, err := file.Reload()
		switch {
		case err != nil:
			event.SettingsReloaded(logger, "refused: "+err.Error())
		case next.LogLevel != loaded.LogLevel:
			event.SettingsReloaded(logger, "log level; other changes take effect at the next start")
			logSink.SetLevel(log.MustParseLevel(next.LogLevel))
		default:
			event.SettingsReloaded(logger, "none that takes effect without a restart")
		}
		if err == nil {
			loaded = next
		}
	}
}
