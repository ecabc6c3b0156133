package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"redwingspread/pkg/api/operatorapi"
)

// newStatus returns the command that prints the state of the fleet as one host sees it.
func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print hosts, owners, terms, primaries, lags, queues and refusals",
		Description: `Queues and refusals are those of the queried host. Roles, positions and lags of instances are known only
to the owner of their database: query that host. The rest is what every host knows of the fleet.

Examples:
  redwingspread status
  redwingspread status --operator-address 127.0.0.1:7012 --format json`,
		Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, _ *cli.Command) error {
			status, err := o.api.GetStatus(ctx)
			if err != nil {
				return err
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, status)
			}
			return printStatus(o.out, status)
		}),
	}
}

// printStatus prints the status as tables.
func printStatus(w io.Writer, status *operatorapi.Status) error {
	ready := "ready"
	if !status.Ready {
		ready = "NOT READY"
	}
	if _, err := fmt.Fprintf(w, "%s, %s, configuration %d\n\n", status.Host, ready, status.Configuration); err != nil {
		return err
	}
	for _, print := range []func(io.Writer, *operatorapi.Status) error{printHosts, printDatabases, printQueues, printRefusals} {
		if err := print(w, status); err != nil {
			return err
		}
	}
	return nil
}

// printHosts prints the hosts as a table.
func printHosts(w io.Writer, status *operatorapi.Status) error {
	t := newTable(w, "HOST", "STATE", "DATA CENTRE", "REGION", "CONFIGURATION", "ADDRESS")
	for _, host := range status.Hosts {
		t.add(host.Host, string(host.State), host.DataCentre, host.Region, fmt.Sprint(host.Configuration), host.Address)
	}
	return t.print()
}

// printDatabases prints each database with its owner and instances.
func printDatabases(w io.Writer, status *operatorapi.Status) error {
	t := newTable(w, "\nDATABASE", "OWNER", "TERM", "INSTANCE", "ROLE", "POSITION", "LAG", "DATA CENTRE")
	for _, database := range status.Databases {
		for _, instance := range database.Instances {
			role := string(instance.Role)
			if instance.Leaving {
				role += ", leaving"
			}
			position, lag := "-", "-"
			if instance.Role != operatorapi.InstanceStatusRoleUnknown {
				position, lag = fmt.Sprint(instance.Position), fmt.Sprintf("%d ms", instance.AgeMs)
			}
			t.add(database.Database, orDash(database.Owner), fmt.Sprint(database.Term), instance.Instance, role,
				position, lag, instance.DataCentre)
		}
	}
	return t.print()
}

// printQueues prints the number of waiting requests by instance and rank.
func printQueues(w io.Writer, status *operatorapi.Status) error {
	t := newTable(w, "\nDATABASE", "INSTANCE", "RANK", "WAITING")
	for _, queue := range status.Queues {
		t.add(queue.Database, queue.Instance, fmt.Sprint(queue.Rank), fmt.Sprint(queue.Waiting))
	}
	return t.print()
}

// printRefusals prints the number of refused requests by instance and reason.
func printRefusals(w io.Writer, status *operatorapi.Status) error {
	t := newTable(w, "\nDATABASE", "INSTANCE", "REFUSED BECAUSE", "COUNT")
	for _, refusal := range status.Refusals {
		t.add(refusal.Database, refusal.Instance, refusal.Code, fmt.Sprint(refusal.Count))
	}
	return t.print()
}
