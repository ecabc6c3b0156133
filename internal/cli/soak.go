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

// newSoak returns the command that runs hosts under random faults.
func newSoak() *cli.Command {
	defaults := soak.New()
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes under random faults and check what callers were promised",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "First seed."},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "Number of seeds, one run each."},
			&cli.DurationFlag{Name: "duration", Value: defaults.Duration, Usage: "Time for which faults come."},
			&cli.IntFlag{Name: "hosts", Value: defaults.Hosts, Usage: "Number of hosts."},
			&cli.IntFlag{Name: "databases", Value: defaults.Databases, Usage: "Number of databases."},
			&cli.IntFlag{Name: "callers", Value: defaults.Callers, Usage: "Callers of each database and kind of work."},
			&cli.StringFlag{Name: "folder", Value: filepath.Join(os.TempDir(), "redwingspread-soak"), Usage: "Folder for the logs of the hosts."},
		},
		Action: runSoak,
	}
}

// runSoak plays the seeds one after the other and prints what each showed.
func runSoak(ctx context.Context, command *cli.Command) (err error) {
	program, err := soak.Executable()
	if err != nil {
		return err
	}
	broken := 0
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
		begun := time.Now()
		result, err := run.Run(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d requests, %d served, %d promises broken, %.0f s, logs in %s\n",
			result.Seed, len(result.Schedule), result.Requests, result.Served, len(result.Violations), time.Since(begun).Seconds(), run.LogDir)
		for _, promise := range result.Violations {
			fmt.Println("  broken:", promise)
		}
		if len(result.Violations) > 0 {
			broken++
			for _, event := range result.Schedule {
				fmt.Println("  ", event)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("soak: %d of %d seeds broke a promise", broken, command.Int("seeds"))
	}
	return nil
}
