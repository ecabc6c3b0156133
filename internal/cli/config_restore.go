package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
)

// newConfigRestore returns the command that submits an earlier configuration as a new version.
func newConfigRestore() *cli.Command {
	return &cli.Command{
		Name:      "restore",
		Usage:     "submit the content of an earlier version as a new version",
		ArgsUsage: "VERSION",
		Description: `Examples:
  redwingspread config restore 41 --author Dana --dry-run
  redwingspread config restore 41 --author Dana`,
		Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			version, err := strconv.ParseUint(command.Args().First(), 10, 64)
			if err != nil {
				return exitError{error: fmt.Errorf("version is %q, allowed: a whole number", command.Args().First()), code: exitUsage}
			}
			current, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			earlier, err := o.acceptedVersion(ctx, model.Version(version))
			if err != nil {
				return err
			}
			return o.submit(ctx, command, current, earlier.document)
		}),
	}
}
