package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

// errArgumentCount reports a command with too few or too many arguments.
var errArgumentCount = errors.New("wrong number of arguments, see --help")

// newConfigSet returns the command that changes one default.
func newConfigSet() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "change one default for the whole fleet",
		ArgsUsage: "PATH VALUE",
		Description: `PATH is defaults.SETTING or kinds.KIND.SETTING. The effect is printed before the change is sent.

Examples:
  redwingspread config set defaults.queueLimit 800 --author Dana
  redwingspread config set kinds.roster.maxAgeMs 20000 --author Dana --dry-run
  redwingspread config set kinds.roster.maxAgeMs none --author Dana`,
		Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return exitError{error: errArgumentCount, code: exitUsage}
			}
			current, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			changed, err := current.document.Set(command.Args().Get(0), command.Args().Get(1))
			if err != nil {
				return exitError{error: err, code: exitUsage}
			}
			return o.submit(ctx, command, current, changed)
		}),
	}
}
