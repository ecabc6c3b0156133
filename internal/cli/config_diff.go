package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
)

// newConfigDiff returns the command that compares configurations.
func newConfigDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a file, or a version, would change",
		ArgsUsage: "[FILE]",
		Description: `Without FILE it compares two accepted versions; --to is the one in force unless it is given.

Examples:
  redwingspread config diff new.json
  redwingspread config diff --from 41
  redwingspread config diff --from 41 --to 43`,
		Flags: operateFlags(
			&cli.Uint64Flag{Name: "from", Usage: "accepted version before"},
			&cli.Uint64Flag{Name: "to", Usage: "accepted version after"},
		),
		Action: operateAction(diffConfig),
	}
}

// diffConfig prints the differences and their effects.
func diffConfig(ctx context.Context, o *operating, command *cli.Command) error {
	before, after, err := o.sides(ctx, command)
	if err != nil {
		return err
	}
	compared := newComparison(before.document, after.document)
	if o.settings.Format == formatJSON {
		return printJSON(o.out, compared)
	}
	return printComparison(o.out, compared)
}

// sides returns the two configurations to compare.
func (o *operating) sides(ctx context.Context, command *cli.Command) (before, after base, err error) {
	before, err = o.version(ctx, command, "from")
	if err != nil {
		return base{}, base{}, err
	}
	if file := command.Args().First(); file != "" {
		after, err = o.readFile(file)
		return before, after, err
	}
	after, err = o.version(ctx, command, "to")
	return before, after, err
}

// version returns the accepted version that a flag names, or the one in force.
func (o *operating) version(ctx context.Context, command *cli.Command, flag string) (base, error) {
	if !command.IsSet(flag) {
		return o.inForce(ctx)
	}
	return o.accepted(ctx, model.Version(command.Uint64(flag)))
}
