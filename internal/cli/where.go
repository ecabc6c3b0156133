package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/pkg/api/frontapi"
)

// newWhere returns the command that asks a host on the users' platform where a statement would go.
func newWhere() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "print where a host on the users' platform would send a statement now, and why, without sending it",
		ArgsUsage: "KIND",
		Description: `Examples:
  redwingspread where desk --metrics-address 127.0.0.1:7105
  redwingspread where desk --metrics-address 127.0.0.1:7105 --write --output json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics-address", Required: true, Usage: "address of the host's metrics"},
			&cli.StringFlag{Name: "tenant", Usage: "tenant of the session, where connections belong to tenants"},
			&cli.BoolFlag{Name: "write", Usage: "the statement writes"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json", Validator: validateOutput},
		},
		Action: runWhere,
	}
}

// validateOutput returns an error unless the value is a form of output.
func validateOutput(value string) error {
	if value != "text" && value != formatJSON {
		return fmt.Errorf("%q is neither text nor json", value)
	}
	return nil
}

// runWhere asks the host and prints its answer.
func runWhere(ctx context.Context, command *cli.Command) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("where: %w", err)
		}
	}()
	if command.Args().Len() != 1 {
		return exitError{error: errors.New("the kind of work is missing"), code: exitUsage}
	}
	client, err := frontapi.NewClient("http://" + command.String("metrics-address"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	params := frontapi.GetPlacementParams{Kind: command.Args().First(), Write: frontapi.NewOptBool(command.Bool("write"))}
	if tenant := command.String("tenant"); tenant != "" {
		params.Tenant = frontapi.NewOptString(tenant)
	}
	found, err := client.GetPlacement(ctx, params)
	var refusal *frontapi.RefusalStatusCode
	if errors.As(err, &refusal) {
		return errors.New(refusal.Response.Message)
	}
	if err != nil {
		return err
	}
	if command.String("output") == formatJSON {
		return printJSON(command.Root().Writer, found)
	}
	return printPlacement(command.Root().Writer, found)
}

// printPlacement prints the choice and the candidates as a table.
func printPlacement(w io.Writer, found *frontapi.Placement) error {
	if _, err := fmt.Fprintf(w, "host %s in %s, database %s, goal %v, %d percent may leave\ngoes to %s (%s)\n\n", found.Host, found.DataCentre,
		found.Database, micros(found.GoalUs), found.SharePercent, orDash(found.Instance), orDash(found.Reason)); err != nil {
		return err
	}
	t := newTable(w, "INSTANCE", "DATA CENTRE", "EDGE", "PRIMARY", "RULED OUT", "ANSWER", "ROUND TRIP", "COST", "LAG", "WAITING", "RUNNING", "LIMIT", "FACTS AGE", "FAILURE", "READS")
	for _, c := range found.Candidates {
		age := "-"
		if c.FactsAgeUs >= 0 {
			age = micros(c.FactsAgeUs).String()
		}
		t.add(c.Instance, c.DataCentre, c.Edge, fmt.Sprint(c.Primary), orDash(c.RuledOut), micros(c.AnswerUs).String(), micros(c.RoundTripUs).String(),
			micros(c.CostUs).String(), micros(c.LagUs).String(), fmt.Sprint(c.Waiting), fmt.Sprint(c.Running), fmt.Sprint(c.Limit), age, orDashPercent(c.FailurePercent), orDashPercent(c.ReadsPercent))
	}
	return t.print()
}

// orDashPercent returns a part in percent, or a dash when it is not known.
func orDashPercent(part frontapi.OptInt) string {
	if !part.Set {
		return "-"
	}
	return fmt.Sprint(part.Value, "%")
}

// micros returns a number of microseconds as a duration.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
