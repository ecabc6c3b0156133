package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/explain"
	"redwingspread/internal/model"
)

// newExplain returns the command that finds the cause of a refusal in the logs of the hosts.
func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "follow a request through the logs of the hosts and print why it was refused",
		ArgsUsage: "ID LOG..., or --recovery LOG...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "kind of work of the session, for a session that was refused when it was opened"},
			&cli.BoolFlag{Name: "recovery", Usage: "print the time from each loss of a primary to the first served write, by phase"},
		},
		Action: runExplain,
	}
}

// runExplain reads the given log files, or standard input if there are none, and prints what they say about the request or the losses
// of primaries.
func runExplain(_ context.Context, command *cli.Command) (err error) {
	arguments := command.Args().Slice()
	if command.Bool("recovery") {
		logs, err := readLogs(arguments)
		if err != nil {
			return err
		}
		return printRecoveries(command.Root().Writer, explain.Recoveries(logs))
	}
	if len(arguments) == 0 {
		return exitError{error: errors.New("explain: the request id is missing"), code: exitUsage}
	}
	logs, err := readLogs(arguments[1:])
	if err != nil {
		return err
	}
	return printExplanation(command.Root().Writer, explain.Explain(explain.Query{
		Request: model.RequestID(arguments[0]),
		Kind:    model.KindID(command.String("kind")),
	}, logs))
}

// readLogs reads the log files, or standard input if there are none.
func readLogs(paths []string) (logs []explain.Line, err error) {
	if len(paths) == 0 {
		return readLog("stdin", os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		lines, err := readLog(strings.TrimSuffix(filepath.Base(path), ".log"), file)
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
		logs = append(logs, lines...)
	}
	return logs, nil
}

// printRecoveries prints the phases of each recovery, with the time since the loss and the length of the phase.
func printRecoveries(out io.Writer, recoveries []explain.Recovery) (err error) {
	printLine := func(format string, arguments ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format+"\n", arguments...)
		}
	}
	if len(recoveries) == 0 {
		printLine("no loss of a primary")
	}
	for _, r := range recoveries {
		printLine("%s: %s lost at %s, %s promoted", r.Database, r.Lost, r.LostAt.Format(time.StampMilli), r.Next)
		for _, step := range r.Steps {
			printStep(printLine, step)
		}
		for _, host := range r.Hosts {
			for _, step := range host.Steps {
				printStep(printLine, step)
			}
		}
		if after, host, found := r.FirstWrite(); found {
			printLine("  first write served after %.3f s, by %s", after.Seconds(), host)
		} else {
			printLine("  no write served by %s in the logs", r.Next)
		}
	}
	return err
}

// printStep prints the end of a phase.
func printStep(printLine func(format string, arguments ...any), step explain.Step) {
	printLine("  %-9s %7.3f s, took %.3f s, %s", step.Phase, step.At.Seconds(), step.Took.Seconds(), step.Host)
}

// readLog reads one log and reports on standard error how many of its lines it skipped.
func readLog(source string, log io.Reader) ([]explain.Line, error) {
	lines, skipped, err := explain.Read(source, log)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "explain: skipped %d lines of %s that are not log entries\n", skipped, source)
	}
	return lines, err
}

// printExplanation prints the log lines of the request, the state changes around it, and the cause.
func printExplanation(out io.Writer, explanation explain.Explanation) (err error) {
	printLine := func(format string, arguments ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format+"\n", arguments...)
		}
	}
	printLine("request %s", explanation.Request)
	for _, entry := range explanation.Lines {
		printLine("  %s %s %s", entry.Time.Format(time.StampMilli), entry.Source, entry.Raw)
	}
	if len(explanation.Related) > 0 {
		printLine("around it")
	}
	for _, entry := range explanation.Related {
		printLine("  %s %s %s", entry.Time.Format(time.StampMilli), entry.Source, entry.Raw)
	}
	printLine("cause: %s", explanation.Cause)
	return err
}
