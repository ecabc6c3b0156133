package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/platform/soak"
)

// newSoak returns the command that runs the soak test.
func newSoak() *cli.Command {
	defaults := soak.New()
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject random faults and check the guarantees given to callers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, with one run for each"},
			&cli.DurationFlag{Name: "duration", Value: defaults.Duration, Usage: "time during which faults are injected"},
			&cli.IntFlag{Name: "hosts", Value: defaults.Hosts, Usage: "number of hosts"},
			&cli.IntFlag{Name: "databases", Value: defaults.Databases, Usage: "number of databases"},
			&cli.IntFlag{Name: "callers", Value: defaults.Callers, Usage: "number of callers for each database and kind of work"},
			&cli.StringFlag{Name: "folder", Value: filepath.Join(os.TempDir(), "redwingspread-soak"), Usage: "directory for the logs of the hosts"},
		},
		Action: runSoak,
	}
}

// runSoak runs the seeds one after the other and prints the result of each.
func runSoak(ctx context.Context, command *cli.Command) (err error) {
	program, err := soak.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for n := range command.Int("seeds") {
		run := soak.New()
		run.Program = program
		run.Seed = command.Uint64("seed") + uint64(n)
		run.Duration = command.Duration("duration")
		run.Hosts, run.Databases, run.Callers = command.Int("hosts"), command.Int("databases"), command.Int("callers")
		run.LogDir = filepath.Join(command.String("folder"), fmt.Sprint(run.Seed))
		if err := os.MkdirAll(run.LogDir, 0o755); err != nil {
			return err
		}
		start := time.Now()
		result, err := run.Run(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d requests, %d served, %d guarantees violated, %.0f s, logs in %s\n",
			result.Seed, len(result.Schedule), result.Requests, result.Served, len(result.Violations), time.Since(start).Seconds(), run.LogDir)
		for _, violation := range result.Violations {
			fmt.Println("  violated:", violation)
		}
		if len(result.Violations) > 0 {
			failed++
			for _, event := range result.Schedule {
				fmt.Println("  ", event)
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("soak: %d of %d seeds violated a guarantee", failed, command.Int("seeds"))
	}
	return nil
}
