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

// newExplain returns the command that follows a request through the hosts' logs.
func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "follow a request through the hosts' logs to the cause of its refusal",
		ArgsUsage: "ID LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "kind", Usage: "Kind of work of the caller's session, for one that was refused at its start."}},
		Action:    runExplain,
	}
}

// runExplain reads the logs, or standard input where none is named, and prints the request's way.
func runExplain(_ context.Context, command *cli.Command) (err error) {
	arguments := command.Args().Slice()
	if len(arguments) == 0 {
		return exitError{error: errors.New("explain: the id of a request is missing"), code: exitUsage}
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
	return printExplanation(command.Root().Writer, explain.Follow(explain.Question{
		Request: model.RequestID(arguments[0]),
		Kind:    model.KindID(command.String("kind")),
	}, logs))
}

// readLog reads one log and says how many of its lines are none.
func readLog(source string, log io.Reader) ([]explain.Line, error) {
	lines, skipped, err := explain.Read(source, log)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "explain: %d lines of %s are no log lines and were passed over\n", skipped, source)
	}
	return lines, err
}

// printExplanation prints the request's lines, what changed around them, and the cause.
func printExplanation(out io.Writer, way explain.Way) (err error) {
	line := func(format string, arguments ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format+"\n", arguments...)
		}
	}
	line("request %s", way.Request)
	for _, one := range way.Lines {
		line("  %s %s %s", one.Time.Format(time.StampMilli), one.Source, one.Raw)
	}
	if len(way.Around) > 0 {
		line("around it")
	}
	for _, one := range way.Around {
		line("  %s %s %s", one.Time.Format(time.StampMilli), one.Source, one.Raw)
	}
	line("cause: %s", way.Cause)
	return err
}
