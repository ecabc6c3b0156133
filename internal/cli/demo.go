package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/demo"
)

// newDemo returns the command that runs a demonstration of the system.
func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a demonstration in this process: four hosts for each user, with stand-ins and sample work",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "stay", Usage: "keep everything running and print addresses and commands to try"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			demonstration := demo.New()
			demonstration.Out = os.Stdout
			demonstration.KeepRunning = command.Bool("stay")
			return demonstration.Run(ctx)
		},
	}
}
