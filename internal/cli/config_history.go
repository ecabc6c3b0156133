package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/pkg/api/operatorapi"
)

// defaultHistoryLimit is the number of versions printed if the limit flag is not set.
const defaultHistoryLimit = 20

// newConfigHistory returns the command that lists the accepted versions.
func newConfigHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the accepted versions, newest first",
		Description: `Examples:
  redwingspread config history
  redwingspread config history --limit 100`,
		Flags: operatorFlags(&cli.IntFlag{Name: "limit", Value: defaultHistoryLimit, Usage: "maximum number of versions, 1 to 1000"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			params := operatorapi.ListConfigurationsParams{Limit: operatorapi.NewOptInt(command.Int("limit"))}
			history, err := o.api.ListConfigurations(ctx, params)
			if err != nil {
				return err
			}
			if o.settings.Format == formatJSON {
				return printJSON(o.out, history)
			}
			t := newTable(o.out, "VERSION", "AUTHOR", "ACCEPTED")
			for _, version := range history.Versions {
				t.add(fmt.Sprint(version.Version), version.Author, version.Time.Format(time.RFC3339))
			}
			return t.print()
		}),
	}
}
