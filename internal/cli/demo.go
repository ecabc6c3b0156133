package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/demo"
)

// newDemo returns the command that shows the system at work.
func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run four hosts for each user, their stand-ins and their work in this process",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "stay", Usage: "leave everything up and print addresses and commands to try"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			shown := demo.New()
			shown.Out = os.Stdout
			shown.KeepRunning = command.Bool("stay")
			return shown.Run(ctx)
		},
	}
}
