package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// newConfigShow returns the command that prints the whole configuration.
func newConfigShow() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the whole configuration, each exception with its reason",
		Description: `Examples:
  redwingspread config show
  redwingspread config show --version 41
  redwingspread config show --format json`,
		Flags: operatorFlags(&cli.Uint64Flag{Name: "version", Usage: "accepted version to print (default: the version in force)"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			selected, err := o.documentToPrint(ctx, command)
			if err != nil {
				return err
			}
			if o.settings.Format == formatJSON {
				return printExport(o.out, selected)
			}
			return printDocument(o.out, selected)
		}),
	}
}

// documentToPrint returns the accepted version given by the flag, or the version in force.
func (o *operatorClient) documentToPrint(ctx context.Context, command *cli.Command) (versionedDocument, error) {
	if !command.IsSet("version") {
		return o.inForce(ctx)
	}
	return o.acceptedVersion(ctx, model.Version(command.Uint64("version")))
}

// printDocument prints a configuration as text.
func printDocument(w io.Writer, selected versionedDocument) error {
	d := selected.document
	if _, err := fmt.Fprintf(w, "Configuration %d\n\nDefaults\n", selected.version); err != nil {
		return err
	}
	if err := printDefaults(w, d.Defaults); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w, "\nKinds of work"); err != nil {
		return err
	}
	if err := printKinds(w, d.Kinds); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "\nExceptions: %d\n", len(d.Exceptions)); err != nil {
		return err
	}
	if err := printExceptions(w, d.Exceptions); err != nil {
		return err
	}
	return printTokens(w, d.Tokens)
}

// printDefaults prints the defaults with a description of each.
func printDefaults(w io.Writer, d config.Defaults) error {
	floors := make([]string, 0, len(d.RankFloors))
	for i, floor := range d.RankFloors {
		floors = append(floors, fmt.Sprintf("rank %d: %d %%", i+1, floor))
	}
	t := newTable(w)
	t.add("  deadlineMs", fmt.Sprint(d.Deadline), "deadline for requests that set none")
	t.add("  queueLimit", fmt.Sprint(d.QueueLimit), "maximum number of requests queued for one instance")
	t.add("  transactionIdleMs", fmt.Sprint(d.TransactionIdle), "maximum idle time of a transaction")
	t.add("  transactionLimitMs", fmt.Sprint(d.TransactionLimit), "maximum duration of a transaction")
	t.add("  rankFloors", strings.Join(floors, ", "), "guaranteed shares of capacity")
	return t.print()
}

// printKinds prints the kinds of work as a table.
func printKinds(w io.Writer, kinds []config.Kind) error {
	t := newTable(w, "  KIND", "RANK", "ACCESS", "DURABILITY", "ACCEPTED AGE", "REPEATABLE", "FLOOR")
	for _, kind := range kinds {
		age := "own writes"
		if kind.MaxAge != nil {
			age = fmt.Sprintf("%d ms", *kind.MaxAge)
		}
		repeatable := "no"
		if kind.Repeatable {
			repeatable = "yes"
		}
		t.add("  "+string(kind.Name), fmt.Sprint(kind.Rank), string(kind.Access), string(kind.Durability), age, repeatable,
			fmt.Sprintf("%d %%", kind.Floor))
	}
	return t.print()
}

// printExceptions prints the exceptions with their reasons.
func printExceptions(w io.Writer, exceptions []config.Exception) error {
	for _, e := range exceptions {
		review := ""
		if e.Review != "" {
			review = fmt.Sprintf(", to be reviewed on %s", e.Review)
		}
		if _, err := fmt.Fprintf(w, "\n  %s: %s = %s for %s\n    why: %s\n    by %s on %s%s\n",
			e.Name, e.Setting, e.Value, e.ScopeText(), e.Reason, e.Author, e.Date, review); err != nil {
			return err
		}
	}
	return nil
}

// printTokens prints the tokens, but not their hashes.
func printTokens(w io.Writer, tokens []config.Token) error {
	if _, err := fmt.Fprintf(w, "\nTokens: %d\n", len(tokens)); err != nil {
		return err
	}
	for _, token := range tokens {
		if _, err := fmt.Fprintf(w, "  %s: %s, %s (by %s on %s)\n", token.Name, token.Role, token.Reason, token.Author, token.Date); err != nil {
			return err
		}
	}
	return nil
}
