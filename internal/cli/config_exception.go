package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// newConfigException returns the commands of exceptions.
func newConfigException() *cli.Command {
	return &cli.Command{
		Name:     "exception",
		Usage:    "add, retire or list exceptions",
		Commands: []*cli.Command{newExceptionAdd(), newExceptionRetire(), newExceptionList()},
	}
}

// newExceptionAdd returns the command that adds an exception.
func newExceptionAdd() *cli.Command {
	return &cli.Command{
		Name:  "add",
		Usage: "add an exception with its reason",
		Description: `Example:
  redwingspread config exception add --name fresh-roster --kind roster --region coastal \
    --setting maxAgeMs --value none --reason "Auditors read rosters in May" \
    --review 2026-06-01 --author Dana`,
		Flags: changeFlags(
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the exception"},
			&cli.StringFlag{Name: "database", Usage: "scope: database"},
			&cli.StringFlag{Name: "kind", Usage: "scope: kind of work"},
			&cli.UintFlag{Name: "rank", Usage: "scope: rank, 1 to 3"},
			&cli.StringFlag{Name: "data-centre", Usage: "scope: data centre"},
			&cli.StringFlag{Name: "region", Usage: "scope: region"},
			&cli.StringFlag{Name: "setting", Required: true, Usage: "setting to change"},
			&cli.StringFlag{Name: "value", Required: true, Usage: "value in the scope"},
			&cli.StringFlag{Name: "reason", Required: true, Usage: "why the exception exists"},
			&cli.StringFlag{Name: "review", Usage: "day on which to ask whether it is still needed, as YYYY-MM-DD"},
		),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			from, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			return o.submit(ctx, command, from, from.document.Add(o.exceptionFromFlags(command)))
		}),
	}
}

// exceptionFromFlags returns the exception that the flags describe, written today.
func (o *operatorClient) exceptionFromFlags(command *cli.Command) config.Exception {
	return config.Exception{
		Name:       config.Name(command.String("name")),
		Database:   model.DatabaseID(command.String("database")),
		Kind:       model.KindID(command.String("kind")),
		Rank:       model.Rank(min(command.Uint("rank"), rankFlagLimit)),
		DataCentre: model.DataCentreID(command.String("data-centre")),
		Region:     model.RegionID(command.String("region")),
		Setting:    config.Setting(command.String("setting")),
		Value:      command.String("value"),
		Reason:     command.String("reason"),
		Author:     config.Author(o.settings.Author),
		Date:       today(),
		Review:     config.Date(command.String("review")),
	}
}

// rankFlagLimit keeps a rank that is far too large from becoming a small one.
const rankFlagLimit = 255

// today returns the day as operators write it.
func today() config.Date {
	return config.Date(time.Now().Format(time.DateOnly))
}

// newExceptionRetire returns the command that takes an exception away.
func newExceptionRetire() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "take an exception away; it stays in the history",
		ArgsUsage: "NAME",
		Description: `Example:
  redwingspread config exception retire fresh-roster --author Dana`,
		Flags:  changeFlags(),
		Action: removeAction("exception", config.Document.Retire),
	}
}

// newExceptionList returns the command that lists the exceptions.
func newExceptionList() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the exceptions with their reasons",
		Flags: operatorFlags(&cli.BoolFlag{Name: "due", Usage: "only those whose review date has come"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			from, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			listed := from.document.Exceptions
			if command.Bool("due") {
				listed = from.document.Due(today())
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, listed)
			}
			return printExceptions(o.out, listed)
		}),
	}
}
