package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/settings"
)

// The exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2 // a bad setting, flag or configuration
	exitConflict = 3 // another configuration was accepted first
	exitUnknown  = 4 // the outcome of a change is unknown
	exitDenied   = 5 // no token, or one whose role is not enough
)

// Run runs the command that the arguments name and returns the process's exit code.
func Run(ctx context.Context, arguments []string) int {
	err := newRoot().Run(ctx, arguments)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	var bad settings.Problems
	var document config.Problems
	if errors.As(err, &bad) || errors.As(err, &document) {
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
		newDemo(),
		newMeasure(),
		newStandin(),
		newSoak(),
		newRun(),
		newFront(),
		newServe(),
		newConfig(),
		newExplain(),
		newStatus(),
		newKeys(),
	}
}
