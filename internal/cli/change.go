package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/pkg/api/operatorapi"
)

// keptFileMode lets only the operator read the kept text.
const keptFileMode = 0o600

// submit shows the effect of a change, makes it unless it is a dry run, and keeps the operator's text when it is not accepted.
func (o *operatorClient) submit(ctx context.Context, command *cli.Command, from versionedDocument, document config.Document) error {
	if err := document.Check(); err != nil {
		return err
	}
	if err := o.printPreview(from.document, document); err != nil {
		return err
	}
	if command.Bool("dry-run") {
		return nil
	}
	err := o.send(ctx, from, document)
	if err == nil {
		return nil
	}
	return errors.Join(err, o.printConflict(err, from), o.saveDocument(command.String("keep"), from, document))
}

// send sends a change and prints the version that it became.
func (o *operatorClient) send(ctx context.Context, from versionedDocument, document config.Document) error {
	if o.settings.Author == "" {
		return exitError{error: errors.New("--author (REDWINGSPREAD_AUTHOR) is empty, allowed: the name that stands with the change"), code: exitUsage}
	}
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		return err
	}
	accepted, err := o.api.PutConfiguration(ctx, &operatorapi.Change{
		Expected: uint64(from.version), Author: o.settings.Author, Document: message,
	})
	if err != nil {
		return unknownOutcomeError(err)
	}
	if o.settings.Format == formatJSON {
		return printJSON(o.out, accepted)
	}
	_, err = fmt.Fprintf(o.out, "accepted as version %d\n", accepted.Version)
	return err
}

// unknownOutcomeError marks a change whose answer did not come back as unknown.
func unknownOutcomeError(err error) error {
	var refusal *operatorapi.RefusalStatusCode
	if errors.As(err, &refusal) {
		return err
	}
	return exitError{error: fmt.Errorf("no answer, read `redwingspread config history`: %w", err), code: exitUnknown}
}

// saveDocument writes the operator's text to a file, or prints it when that fails, so that it is not lost.
func (o *operatorClient) saveDocument(file string, from versionedDocument, document config.Document) error {
	text, err := exportText(from.version, document)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, keptFileMode); err != nil {
		_, printErr := fmt.Fprintf(o.errOut, "your text could not be written to %s and follows:\n%s\n", file, text)
		return errors.Join(err, printErr)
	}
	_, err = fmt.Fprintf(o.errOut, "your text is kept in %s; `redwingspread config diff %s` compares it with what is in force\n", file, file)
	return err
}

// printConflict prints what the winner of a race changed.
func (o *operatorClient) printConflict(err error, from versionedDocument) error {
	var refusal *operatorapi.RefusalStatusCode
	if !errors.As(err, &refusal) || !refusal.Response.Current.Set {
		return nil
	}
	current, err := newVersionedDocument(&refusal.Response.Current.Value, nil)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.errOut, "version %d changed since version %d:\n", current.version, from.version); err != nil {
		return err
	}
	return printDifferences(o.errOut, config.Diff(from.document, current.document))
}

// printPreview prints what a change does, unless the output is for programs.
func (o *operatorClient) printPreview(before, after config.Document) error {
	if o.settings.Format == formatJSON {
		return nil
	}
	return printComparison(o.out, newComparison(before, after))
}

// comparison is what differs between two configurations.
type comparison struct {
	Differences []config.Difference `json:"differences"`
	Effects     []config.Effect     `json:"effects"`
}

// newComparison compares two configurations.
func newComparison(before, after config.Document) comparison {
	return comparison{Differences: config.Diff(before, after), Effects: config.Effects(before, after)}
}

// printComparison prints the differences, then their effects.
func printComparison(w io.Writer, c comparison) error {
	if len(c.Differences) == 0 {
		_, err := fmt.Fprintln(w, "nothing changes")
		return err
	}
	if err := printDifferences(w, c.Differences); err != nil {
		return err
	}
	return printEffects(w, c.Effects)
}

// removeAction returns the action of a command that takes away what its argument names.
func removeAction(what string, remove func(config.Document, config.Name) (config.Document, bool)) cli.ActionFunc {
	return operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
		from, err := o.inForce(ctx)
		if err != nil {
			return err
		}
		name := config.Name(command.Args().First())
		changed, found := remove(from.document, name)
		if !found {
			return exitError{error: fmt.Errorf("no %s is named %q", what, name), code: exitUsage}
		}
		return o.submit(ctx, command, from, changed)
	})
}
