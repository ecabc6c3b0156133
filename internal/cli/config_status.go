package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"redwingspread/pkg/api/operatorapi"
)

// newConfigStatus returns the command that tells which version is in force where.
func newConfigStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "tell which version is in force on each host, and how soon it was",
		Description: `The times stand for the newest version that was sent through the asked host.

Example:
  redwingspread config status`,
		Flags: operateFlags(),
		Action: operateAction(func(ctx context.Context, o *operating, _ *cli.Command) error {
			status, err := o.api.GetStatus(ctx)
			if err != nil {
				return err
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, status)
			}
			delays := map[string]operatorapi.SpreadStatus{}
			for _, spread := range status.Spread {
				delays[spread.Host] = spread
			}
			t := newTable(o.out, "HOST", "STATE", "VERSION", "IN FORCE AFTER")
			for _, host := range status.Hosts {
				t.add(host.Host, string(host.State), fmt.Sprint(host.Configuration), delayText(delays, host.Host))
			}
			return t.print()
		}),
	}
}

// delayText returns how soon a version was in force on a host, or a dash.
func delayText(delays map[string]operatorapi.SpreadStatus, host string) string {
	delay, found := delays[host]
	if !found {
		return "-"
	}
	return fmt.Sprintf("%d ms (version %d)", delay.DelayMs, delay.Version)
}
