package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/capacity"
)

// measures are the names that the measure command takes.
var measures = []string{"capacity"}

// newMeasure returns the command that takes the measures.
func newMeasure() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "take the measures; the exit code is 1 when a target is missed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Value: "capacity", Usage: "measure to take: " + strings.Join(measures, ", ")},
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
	if only := command.String("only"); !slices.Contains(measures, only) {
		return fmt.Errorf("unknown measure %q: use one of %s", only, strings.Join(measures, ", "))
	}
	report, err := capacity.Measure(ctx, command.Uint64("seed"), command.Root().ErrWriter)
	if err != nil {
		return err
	}
	if command.String("format") == "json" {
		err = json.NewEncoder(out).Encode(report)
	} else {
		report.Print(out)
	}
	if err == nil && len(report.Missed) > 0 {
		err = fmt.Errorf("%d targets missed", len(report.Missed))
	}
	return err
}
