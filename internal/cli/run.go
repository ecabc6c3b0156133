package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// runDeadline is the default time that a statement has.
const runDeadline = 5 * time.Second

// newRun returns the command that runs one statement as a caller.
func newRun() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run one statement as a caller and print its answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Value: []string{"127.0.0.1:7000"}, Usage: "caller address of a host; more than one are tried in turn"},
			&cli.StringFlag{Name: "database", Required: true, Usage: "database of the statement"},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "kind of work"},
			&cli.StringFlag{Name: "operation", Required: true, Usage: "operation to run"},
			&cli.StringMapFlag{Name: "argument", Usage: "argument as name=value; may be repeated"},
			&cli.BoolFlag{Name: "read", Usage: "the statement changes nothing and may be repeated"},
			&cli.DurationFlag{Name: "max-age", Usage: "age of data that a read accepts"},
			&cli.StringFlag{Name: "request", Usage: "request id; a repeat with the same one returns the recorded answer"},
			&cli.StringFlag{Name: "token", Usage: "session token of an earlier answer"},
			&cli.StringFlag{Name: "bearer", Sources: cli.EnvVars("REDWINGSPREAD_CALLER_TOKEN"), Usage: "the caller's token, as an operator granted it"},
			&cli.StringFlag{Name: "authorities", Sources: cli.EnvVars("REDWINGSPREAD_CALLER_AUTHORITIES"), Usage: "file with the hosts' authorities in PEM; empty for hosts without TLS"},
			&cli.DurationFlag{Name: "deadline", Value: runDeadline, Usage: "time until the answer must be there"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStatement(ctx, command, command.Root().Writer)
		},
	}
}

// runStatement runs the statement that the flags describe and prints its answer.
func runStatement(ctx context.Context, command *cli.Command, w io.Writer) error {
	caller := client.New(addresses(command)...)
	caller.Timeout = command.Duration("deadline")
	caller.BearerToken = command.String("bearer")
	caller.UseTLS = command.String("authorities") != ""
	transport, _, err := publicTransport(command.String("authorities"))
	if err != nil {
		return err
	}
	caller.Transport = transport
	session := caller.Resume(command.String("token"))
	answer, err := session.Run(ctx, statementOf(command))
	if err != nil {
		return err
	}
	return printAnswer(w, answer, session.Token())
}

// addresses returns the hosts that the flags name.
func addresses(command *cli.Command) []model.Address {
	var list []model.Address
	for _, address := range command.StringSlice("address") {
		list = append(list, model.Address(address))
	}
	return list
}

// statementOf returns the statement that the flags describe.
func statementOf(command *cli.Command) client.Statement {
	statement := client.Statement{
		Database:  model.DatabaseID(command.String("database")),
		Kind:      model.KindID(command.String("kind")),
		Operation: command.String("operation"),
		Arguments: command.StringMap("argument"),
		Read:      command.Bool("read"),
		Request:   model.RequestID(command.String("request")),
	}
	if command.IsSet("max-age") {
		age := command.Duration("max-age")
		statement.MaxAge = &age
	}
	return statement
}

// printAnswer prints an answer, one fact a line.
func printAnswer(w io.Writer, answer client.Result, token string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("print the answer: %w", err)
		}
	}()
	outcome := "done"
	if !answer.Done {
		outcome = "failed: " + answer.FailureReason
	}
	if _, err = fmt.Fprintf(w, "request %s\noutcome %s\ninstance %s (%s) through %s\n",
		answer.Request, outcome, answer.Instance, answer.Role, answer.Host); err != nil {
		return err
	}
	for _, row := range answer.Rows {
		if err = printRow(w, row); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "token %s\n", token)
	return err
}

// printRow prints the columns of a row in the order of their names.
func printRow(w io.Writer, row model.Row) error {
	if _, err := fmt.Fprint(w, "row"); err != nil {
		return err
	}
	for _, column := range slices.Sorted(maps.Keys(row)) {
		if _, err := fmt.Fprintf(w, " %s=%s", column, row[column]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}
