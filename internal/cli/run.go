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

// defaultRunDeadline is the deadline of a statement if the flag is not set.
const defaultRunDeadline = 5 * time.Second

// newRun returns the command that executes one statement as a caller.
func newRun() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "execute one statement as a caller and print the result",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Value: []string{"127.0.0.1:7000"}, Usage: "caller address of a host; several are tried in turn"},
			&cli.StringFlag{Name: "database", Required: true, Usage: "database of the statement"},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "kind of work"},
			&cli.StringFlag{Name: "operation", Required: true, Usage: "operation to execute"},
			&cli.StringMapFlag{Name: "argument", Usage: "argument as name=value; may be repeated"},
			&cli.BoolFlag{Name: "read", Usage: "the statement is a read, which is safe to retry"},
			&cli.DurationFlag{Name: "max-age", Usage: "maximum age of the data that a read may return"},
			&cli.StringFlag{Name: "request", Usage: "request id; a retry with the same id returns the recorded result"},
			&cli.StringFlag{Name: "token", Usage: "session token printed by an earlier run"},
			&cli.StringFlag{Name: "bearer", Sources: cli.EnvVars("REDWINGSPREAD_CALLER_TOKEN"), Usage: "bearer token of the caller, granted by an operator"},
			&cli.StringFlag{Name: "authorities", Sources: cli.EnvVars("REDWINGSPREAD_CALLER_AUTHORITIES"), Usage: "PEM file with the certificate authorities of the hosts; empty for hosts without TLS"},
			&cli.DurationFlag{Name: "deadline", Value: defaultRunDeadline, Usage: "time allowed for the statement, with retries"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStatement(ctx, command, command.Root().Writer)
		},
	}
}

// runStatement executes the statement described by the flags and prints the result.
func runStatement(ctx context.Context, command *cli.Command, w io.Writer) error {
	caller := client.New(addresses(command)...)
	caller.Timeout = command.Duration("deadline")
	caller.BearerToken = command.String("bearer")
	caller.UseTLS = command.String("authorities") != ""
	transport, _, err := newTransport(command.String("authorities"))
	if err != nil {
		return err
	}
	caller.Transport = transport
	session := caller.Resume(command.String("token"))
	result, err := session.Run(ctx, statementFromFlags(command))
	if err != nil {
		return err
	}
	return printResult(w, result, session.Token())
}

// addresses returns the host addresses given by the flags.
func addresses(command *cli.Command) []model.Address {
	var parsed []model.Address
	for _, address := range command.StringSlice("address") {
		parsed = append(parsed, model.Address(address))
	}
	return parsed
}

// statementFromFlags returns the statement described by the flags.
func statementFromFlags(command *cli.Command) client.Statement {
	statement := client.Statement{
		Database:  model.DatabaseID(command.String("database")),
		Kind:      model.KindID(command.String("kind")),
		Operation: command.String("operation"),
		Arguments: command.StringMap("argument"),
		Read:      command.Bool("read"),
		Request:   model.RequestID(command.String("request")),
	}
	if command.IsSet("max-age") {
		maxAge := command.Duration("max-age")
		statement.MaxAge = &maxAge
	}
	return statement
}

// printResult prints the result of a statement and the session token.
func printResult(w io.Writer, result client.Result, token string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("print the result: %w", err)
		}
	}()
	outcome := "done"
	if !result.Done {
		outcome = "failed: " + result.FailureReason
	}
	if _, err = fmt.Fprintf(w, "request %s\noutcome %s\ninstance %s (%s) through %s\n",
		result.Request, outcome, result.Instance, result.Role, result.Host); err != nil {
		return err
	}
	for _, row := range result.Rows {
		if err = printRow(w, row); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "token %s\n", token)
	return err
}

// printRow prints the columns of a row, sorted by name.
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
