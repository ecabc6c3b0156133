package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/capacity"
	"redwingspread/internal/local"
	"redwingspread/internal/measure"
)

// capacityMeasurement is the name of the measure of capacity.
const capacityMeasurement = "capacity"

// plansByUser holds the users whose measures can be taken.
var plansByUser = map[string][]local.Plan{
	"authority": {local.Authority()},
	"library":   {local.Library()},
	"both":      {local.Authority(), local.Library()},
}

// newMeasure returns the command that takes the measures.
func newMeasure() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "take the measures; the exit code is 1 when a target is missed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "both", Usage: "authority, library or both"},
			&cli.StringFlag{Name: "only", Usage: "capacity: the slopes of docs/CAPACITY.md in place of the users' measures"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of everything that is drawn"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runMeasure(ctx, command, command.Root().Writer)
		},
	}
}

// runMeasure takes the measures that the flags name.
func runMeasure(ctx context.Context, command *cli.Command, out io.Writer) error {
	chosen, known := plansByUser[command.String("user")]
	if !known {
		return fmt.Errorf("unknown user %q: use authority, library or both", command.String("user"))
	}
	switch only := command.String("only"); only {
	case "":
		return measureUsers(ctx, command, out, chosen)
	case capacityMeasurement:
		return measureCapacity(ctx, command, out)
	default:
		return fmt.Errorf("unknown measure %q: use %s or leave it out", only, capacityMeasurement)
	}
}

// measureCapacity takes the slopes of docs/CAPACITY.md.
func measureCapacity(ctx context.Context, command *cli.Command, out io.Writer) error {
	report, err := capacity.Measure(ctx, command.Uint64("seed"), command.Root().ErrWriter)
	if err != nil {
		return err
	}
	if err := printReport(command, out, report, report.Print); err != nil {
		return err
	}
	if len(report.Missed) > 0 {
		return fmt.Errorf("%d targets missed", len(report.Missed))
	}
	return nil
}

// measureUsers takes the measures of the users in turn.
func measureUsers(ctx context.Context, command *cli.Command, out io.Writer, plans []local.Plan) error {
	trees := map[string]any{}
	var reports []*measure.Report
	var missed error
	for _, plan := range plans {
		bench := measure.New(plan)
		bench.Progress = command.Root().ErrWriter
		bench.Seed = command.Uint64("seed")
		report, err := bench.Run(ctx)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		trees[report.User] = report.Tree()
		if names := report.Missed(); len(names) > 0 {
			missed = errors.Join(missed, fmt.Errorf("%s missed %v", report.User, names))
		}
	}
	printAll := func(out io.Writer) {
		for _, report := range reports {
			report.Print(out)
		}
	}
	return errors.Join(printReport(command, out, trees, printAll), missed)
}

// printReport writes a report as JSON or as text, as the flags say.
func printReport(command *cli.Command, out io.Writer, report any, print func(io.Writer)) error {
	if command.String("format") == "json" {
		return json.NewEncoder(out).Encode(report)
	}
	print(out)
	return nil
}
