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

// capacityMeasurement is the value of --only that selects the capacity measurement.
const capacityMeasurement = "capacity"

// plansByUser maps the values of the user flag to the deployments to measure.
var plansByUser = map[string][]local.Plan{
	"authority": {local.AuthorityPlan()},
	"library":   {local.LibraryPlan()},
	"both":      {local.AuthorityPlan(), local.LibraryPlan()},
}

// newMeasure returns the command that runs the measurements.
func newMeasure() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run the measurements; the exit code is 1 if a target is missed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "both", Usage: "authority, library or both"},
			&cli.StringFlag{Name: "only", Usage: "capacity: the slopes of docs/CAPACITY.md instead of the measurements of the users"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers and request ids"},
			&cli.StringFlag{Name: "sizes", Usage: "file with the sizes of a deployment: print what it can serve at best, and measure nothing"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json, of the bounds of --sizes", Validator: validateOutput},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runMeasure(ctx, command, command.Root().Writer)
		},
	}
}

// runMeasure runs the measurements selected by the flags.
func runMeasure(ctx context.Context, command *cli.Command, out io.Writer) error {
	if path := command.String("sizes"); path != "" {
		sizes, err := readSizes(path)
		if err != nil {
			return fmt.Errorf("measure: %w", err)
		}
		return printBounds(out, sizes, command.String("output"))
	}
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
		return fmt.Errorf("unknown measurement %q: use %s or omit the flag", only, capacityMeasurement)
	}
}

// measureCapacity measures how the cost of a host grows with the size of the fleet: the slopes of docs/CAPACITY.md.
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

// measureUsers measures the deployment of each user, one after the other.
func measureUsers(ctx context.Context, command *cli.Command, out io.Writer, plans []local.Plan) error {
	metrics := map[string]any{}
	var reports []*measure.Report
	var missed error
	for _, plan := range plans {
		benchmark := measure.New(plan)
		benchmark.Progress = command.Root().ErrWriter
		benchmark.Seed = command.Uint64("seed")
		report, err := benchmark.Run(ctx)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		metrics[report.User] = report.Tree()
		if names := report.Missed(); len(names) > 0 {
			missed = errors.Join(missed, fmt.Errorf("%s missed %v", report.User, names))
		}
	}
	printAll := func(out io.Writer) {
		for _, report := range reports {
			report.Print(out)
		}
	}
	return errors.Join(printReport(command, out, metrics, printAll), missed)
}

// printReport prints a report as JSON or text, as the format flag selects.
func printReport(command *cli.Command, out io.Writer, report any, print func(io.Writer)) error {
	if command.String("format") == "json" {
		return json.NewEncoder(out).Encode(report)
	}
	print(out)
	return nil
}
