package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"redwingspread/pkg/api/operatorapi"
)

// newConfigStatus returns the command that shows the version in force on each host.
func newConfigStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the version in force on each host, and how long its rollout took",
		Description: `The times are for the newest version submitted through the queried host. In a fleet of more than six
hosts, each host gets the state of its neighbours alone and shows a dash for the others: query several.

Example:
  redwingspread config status`,
		Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, _ *cli.Command) error {
			status, err := o.api.GetStatus(ctx)
			if err != nil {
				return err
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, status)
			}
			rollouts := map[string]operatorapi.SpreadStatus{}
			for _, rollout := range status.Spread {
				rollouts[rollout.Host] = rollout
			}
			t := newTable(o.out, "HOST", "STATE", "VERSION", "IN FORCE AFTER")
			for _, host := range status.Hosts {
				t.add(host.Host, string(host.State), versionText(host.Configuration, status.Configuration), delayText(rollouts, host.Host))
			}
			return t.print()
		}),
	}
}

// versionText returns the version of a host, or a dash if the queried host does not receive its state directly.
func versionText(version, newest uint64) string {
	if version == 0 && newest > 0 {
		return "-"
	}
	return fmt.Sprint(version)
}

// delayText returns how long a version took to be in force on a host, or a dash if that is unknown.
func delayText(rollouts map[string]operatorapi.SpreadStatus, host string) string {
	rollout, found := rollouts[host]
	if !found {
		return "-"
	}
	return fmt.Sprintf("%d ms (version %d)", rollout.DelayMs, rollout.Version)
}
