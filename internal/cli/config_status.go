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
		Description: `The times stand for the newest version that was sent through the asked host. In a fleet of more than
six hosts each hears from its neighbours alone and shows a dash for the others: ask more than one.

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
			delays := map[string]operatorapi.SpreadStatus{}
			for _, spread := range status.Spread {
				delays[spread.Host] = spread
			}
			t := newTable(o.out, "HOST", "STATE", "VERSION", "IN FORCE AFTER")
			for _, host := range status.Hosts {
				t.add(host.Host, string(host.State), versionText(host.Configuration, status.Configuration), delayText(delays, host.Host))
			}
			return t.print()
		}),
	}
}

// versionText returns a host's version, or a dash for a host that the asked one does not hear from itself.
func versionText(version, newest uint64) string {
	if version == 0 && newest > 0 {
		return "-"
	}
	return fmt.Sprint(version)
}

// delayText returns how soon a version was in force on a host, or a dash.
func delayText(delays map[string]operatorapi.SpreadStatus, host string) string {
	delay, found := delays[host]
	if !found {
		return "-"
	}
	return fmt.Sprintf("%d ms (version %d)", delay.DelayMs, delay.Version)
}
