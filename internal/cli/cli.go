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

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2 // an invalid setting, flag or configuration
	exitConflict = 3 // another configuration change was accepted first
	exitUnknown  = 4 // the outcome of a change is unknown
	exitDenied   = 5 // no token, or its role lacks the permission
)

// Run executes the command line and returns the exit code of the process.
func Run(ctx context.Context, arguments []string) int {
	err := newRoot().Run(ctx, arguments)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	var settingsProblems settings.Problems
	var documentProblems config.Problems
	if errors.As(err, &settingsProblems) || errors.As(err, &documentProblems) {
		return exitUsage
	}
	return exitFailed
}

// newRoot returns the root command of the program.
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

// commands returns the top-level commands.
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
		newWhere(),
		newKeys(),
	}
}
