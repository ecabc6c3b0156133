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
		ArgsUsage: "ID LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "kind", Usage: "kind of work of the session, for a session that was refused when it was opened"}},
		Action:    runExplain,
	}
}

// runExplain reads the given log files, or standard input if there are none, and prints what they say about the request.
func runExplain(_ context.Context, command *cli.Command) (err error) {
	arguments := command.Args().Slice()
	if len(arguments) == 0 {
		return exitError{error: errors.New("explain: the request id is missing"), code: exitUsage}
	}
	var logs []explain.Line
	if len(arguments) == 1 {
		if logs, err = readLog("stdin", os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range arguments[1:] {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		lines, err := readLog(strings.TrimSuffix(filepath.Base(path), ".log"), file)
		if err = errors.Join(err, file.Close()); err != nil {
			return err
		}
		logs = append(logs, lines...)
	}
	return printExplanation(command.Root().Writer, explain.Explain(explain.Query{
		Request: model.RequestID(arguments[0]),
		Kind:    model.KindID(command.String("kind")),
	}, logs))
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
