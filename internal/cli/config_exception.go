package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// newConfigException returns the command that manages exceptions, with its subcommands.
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
		Usage: "add an exception",
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
			&cli.StringFlag{Name: "value", Required: true, Usage: "value of the setting within the scope"},
			&cli.StringFlag{Name: "reason", Required: true, Usage: "why the exception exists"},
			&cli.StringFlag{Name: "review", Usage: "date on which to review whether it is still needed, as YYYY-MM-DD"},
		),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			current, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			return o.submit(ctx, command, current, current.document.AddException(o.exceptionFromFlags(command)))
		}),
	}
}

// exceptionFromFlags returns the exception described by the flags, dated today.
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

// rankFlagLimit caps the rank flag, since a larger value would wrap around to a valid rank on conversion.
const rankFlagLimit = 255

// today returns the local date.
func today() config.Date {
	return config.Date(time.Now().Format(time.DateOnly))
}

// newExceptionRetire returns the command that removes an exception.
func newExceptionRetire() *cli.Command {
	return &cli.Command{
		Name:      "retire",
		Usage:     "remove an exception; earlier versions still contain it",
		ArgsUsage: "NAME",
		Description: `Example:
  redwingspread config exception retire fresh-roster --author Dana`,
		Flags:  changeFlags(),
		Action: removeAction("exception", config.Document.RemoveException),
	}
}

// newExceptionList returns the command that lists the exceptions.
func newExceptionList() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the exceptions with their reasons",
		Flags: operatorFlags(&cli.BoolFlag{Name: "due", Usage: "list only exceptions whose review date has been reached"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			current, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			exceptions := current.document.Exceptions
			if command.Bool("due") {
				exceptions = current.document.DueForReview(today())
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, exceptions)
			}
			return printExceptions(o.out, exceptions)
		}),
	}
}
