package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/settings"
)

// The exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the command that the arguments name and returns the process's exit code.
func Run(ctx context.Context, arguments []string) int {
	err := newRoot().Run(ctx, arguments)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, err)
	var problems settings.Problems
	if errors.As(err, &problems) {
		return exitUsage
	}
	return exitFailed
}

// newRoot returns the program's root command.
func newRoot() *cli.Command {
	return &cli.Command{
		Name:                  "redwingspread",
		Usage:                 "a database proxy with session consistency",
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands:              commands(),
	}
}

// commands returns every command of the program.
func commands() []*cli.Command {
	return []*cli.Command{
		newRun(),
	}
}
