package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// newConfigExplain returns the command that shows the source of each value in force.
func newConfigExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the settings in force for a kind of work on a database, and why",
		ArgsUsage: "DATABASE KIND",
		Description: `Examples:
  redwingspread config explain enrol-1 payment
  redwingspread config explain enrol-1 roster --region coastal`,
		Flags: operatorFlags(
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the work"},
			&cli.StringFlag{Name: "region", Usage: "region of the work"},
		),
		Action: operatorAction(explainConfig),
	}
}

// explainConfig prints each setting in force with its source.
func explainConfig(ctx context.Context, o *operatorClient, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return exitError{error: errArgumentCount, code: exitUsage}
	}
	current, err := o.inForce(ctx)
	if err != nil {
		return err
	}
	scope := config.Scope{
		Database:   model.DatabaseID(command.Args().Get(0)),
		Kind:       model.KindID(command.Args().Get(1)),
		DataCentre: model.DataCentreID(command.String("data-centre")),
		Region:     model.RegionID(command.String("region")),
	}
	resolved, known := current.document.Explain(scope)
	if !known {
		return exitError{error: fmt.Errorf("the configuration has no kind of work %q", scope.Kind), code: exitUsage}
	}
	if o.settings.Format == formatJSON {
		return printJSON(o.out, resolved)
	}
	return printResolvedSettings(o.out, resolved)
}

// printResolvedSettings prints each setting with its value, source and reason, and below it the exceptions that it overrides.
func printResolvedSettings(w io.Writer, settings []config.ResolvedSetting) error {
	t := newTable(w, "SETTING", "VALUE", "FROM", "WHY")
	for _, setting := range settings {
		source, reason := string(setting.Source), ""
		if setting.Exception != nil {
			source, reason = "exception "+string(setting.Exception.Name), setting.Exception.Reason
		}
		t.add(string(setting.Setting), setting.Value, source, reason)
		for _, overridden := range setting.Overridden {
			t.add("", "("+overridden.Value+")", "beaten: exception "+string(overridden.Name), "it names less of the scope")
		}
	}
	return t.print()
}
