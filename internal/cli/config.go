package cli

import (
	"github.com/urfave/cli/v3"

	"redwingspread/internal/settings"
)

// newConfig returns the command that manages the configuration, with its subcommands.
func newConfig() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show and change the configuration",
		Description: `The configuration is a small set of defaults for the whole fleet and a list of
exceptions, each with a reason. No command addresses a single host.

Exit codes: 0 done, 1 failed, 2 invalid flag or configuration, 3 conflict with
another change, 4 outcome unknown, 5 not permitted.

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

// operatorFlags returns the flags that all operator commands share, followed by those of one command.
func operatorFlags(own ...cli.Flag) []cli.Flag {
	return append(settings.OperateFlags(), own...)
}

// changeFlags returns the flags of a command that changes the configuration.
func changeFlags(own ...cli.Flag) []cli.Flag {
	return operatorFlags(append(own,
		&cli.BoolFlag{Name: "dry-run", Usage: "show the effect without changing anything"},
		&cli.StringFlag{Name: "keep", Value: "configuration-kept.json", Usage: "file in which your text is saved if the change is not accepted"},
	)...)
}
