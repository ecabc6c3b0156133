package cli

import (
	"github.com/urfave/cli/v3"

	"redwingspread/internal/settings"
)

// newConfig returns the command of the configuration and its subcommands.
func newConfig() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "look at the configuration and change it",
		Description: `The configuration is a small set of defaults for the whole fleet and a list of
exceptions, each with a written reason. No command names a host.

Exit codes: 0 done, 1 failed, 2 bad flag or configuration, 3 conflict with
another operator, 4 outcome unknown, 5 no right.

Examples:
  redwingspread config show
  redwingspread config explain enrol-1 payment
  redwingspread config set defaults.deadlineMs 8000 --author Dana --dry-run
  redwingspread config exception add --name slow-roster --database enrol-1 --kind roster \
    --setting deadlineMs --value 9000 --reason "District export takes longer" --author Dana`,
		Commands: []*cli.Command{
			newConfigShow(),
			newConfigSet(),
			newConfigExplain(),
			newConfigDiff(),
			newConfigHistory(),
			newConfigException(),
			newConfigStatus(),
			newConfigExport(),
			newConfigImport(),
			newConfigRestore(),
		},
	}
}

// operatorFlags returns the flags of operators' commands before the command's own.
func operatorFlags(own ...cli.Flag) []cli.Flag {
	return append(settings.OperateFlags(), own...)
}

// changeFlags returns the flags of commands that change the configuration.
func changeFlags(own ...cli.Flag) []cli.Flag {
	return operatorFlags(append(own,
		&cli.BoolFlag{Name: "dry-run", Usage: "show the effect and change nothing"},
		&cli.StringFlag{Name: "keep", Value: "configuration-kept.json", Usage: "file that keeps your text when the change is not accepted"},
	)...)
}
