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
		Usage:     "show what a file or a version would change",
		ArgsUsage: "[FILE]",
		Description: `Without FILE, two accepted versions are compared. --from and --to default to the version in force.

Examples:
  redwingspread config diff new.json
  redwingspread config diff --from 41
  redwingspread config diff --from 41 --to 43`,
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "from", Usage: "accepted version to compare from"},
			&cli.Uint64Flag{Name: "to", Usage: "accepted version to compare to"},
		),
		Action: operatorAction(diffConfig),
	}
}

// diffConfig prints the differences between two configurations and their effects.
func diffConfig(ctx context.Context, o *operatorClient, command *cli.Command) error {
	before, after, err := o.documentsToCompare(ctx, command)
	if err != nil {
		return err
	}
	result := newComparison(before.document, after.document)
	if o.settings.Format == formatJSON {
		return printJSON(o.out, result)
	}
	return printComparison(o.out, result)
}

// documentsToCompare returns the configurations that the flags and the file argument select.
func (o *operatorClient) documentsToCompare(ctx context.Context, command *cli.Command) (before, after versionedDocument, err error) {
	before, err = o.versionFromFlag(ctx, command, "from")
	if err != nil {
		return versionedDocument{}, versionedDocument{}, err
	}
	if file := command.Args().First(); file != "" {
		after, err = o.readExportFile(file)
		return before, after, err
	}
	after, err = o.versionFromFlag(ctx, command, "to")
	return before, after, err
}

// versionFromFlag returns the accepted version given by the flag, or the version in force if the flag is not set.
func (o *operatorClient) versionFromFlag(ctx context.Context, command *cli.Command, flag string) (versionedDocument, error) {
	if !command.IsSet(flag) {
		return o.inForce(ctx)
	}
	return o.acceptedVersion(ctx, model.Version(command.Uint64(flag)))
}
