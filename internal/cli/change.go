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

// savedFileMode makes the saved document readable by its owner alone.
const savedFileMode = 0o600

// submit previews a change and sends it unless this is a dry run; a document that is not accepted is saved to a file.
func (o *operatorClient) submit(ctx context.Context, command *cli.Command, base versionedDocument, document config.Document) error {
	if err := document.Check(); err != nil {
		return err
	}
	if err := o.printPreview(base.document, document); err != nil {
		return err
	}
	if command.Bool("dry-run") {
		return nil
	}
	err := o.send(ctx, base, document)
	if err == nil {
		return nil
	}
	return errors.Join(err, o.printConflict(err, base), o.saveDocument(command.String("keep"), base, document))
}

// send sends the document to the host and prints the version under which it was accepted.
func (o *operatorClient) send(ctx context.Context, base versionedDocument, document config.Document) error {
	if o.settings.Author == "" {
		return exitError{error: errors.New("--author (REDWINGSPREAD_AUTHOR) is empty, allowed: the name to record with the change"), code: exitUsage}
	}
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		return err
	}
	accepted, err := o.api.PutConfiguration(ctx, &operatorapi.Change{
		Expected: uint64(base.version), Author: o.settings.Author, Document: message,
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

// unknownOutcomeError returns a refusal unchanged; any other error means that the outcome of the change is unknown.
func unknownOutcomeError(err error) error {
	var refusal *operatorapi.RefusalStatusCode
	if errors.As(err, &refusal) {
		return err
	}
	return exitError{error: fmt.Errorf("no answer, so the change may have been accepted; see `redwingspread config history`: %w", err), code: exitUnknown}
}

// saveDocument writes a document that was not accepted to a file, or prints it if that fails, so that the operator's edit is
// not lost.
func (o *operatorClient) saveDocument(file string, base versionedDocument, document config.Document) error {
	text, err := exportText(base.version, document)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, savedFileMode); err != nil {
		_, printErr := fmt.Fprintf(o.errOut, "cannot write your text to %s, so it is printed here:\n%s\n", file, text)
		return errors.Join(err, printErr)
	}
	_, err = fmt.Fprintf(o.errOut, "your text is kept in %s; `redwingspread config diff %s` compares it with the configuration in force\n", file, file)
	return err
}

// printConflict prints what a concurrently accepted change altered, if the refusal carries the current configuration.
func (o *operatorClient) printConflict(err error, base versionedDocument) error {
	var refusal *operatorapi.RefusalStatusCode
	if !errors.As(err, &refusal) || !refusal.Response.Current.Set {
		return nil
	}
	current, err := newVersionedDocument(&refusal.Response.Current.Value, nil)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.errOut, "version %d changed since version %d:\n", current.version, base.version); err != nil {
		return err
	}
	return printDifferences(o.errOut, config.Diff(base.document, current.document))
}

// printPreview prints the differences and effects of a change, except with JSON output.
func (o *operatorClient) printPreview(before, after config.Document) error {
	if o.settings.Format == formatJSON {
		return nil
	}
	return printComparison(o.out, newComparison(before, after))
}

// comparison holds the differences between two configurations and their effects on the settings in force.
type comparison struct {
	Differences []config.Difference `json:"differences"`
	Effects     []config.Effect     `json:"effects"`
}

// newComparison compares two configurations.
func newComparison(before, after config.Document) comparison {
	return comparison{Differences: config.Diff(before, after), Effects: config.Effects(before, after)}
}

// printComparison prints the differences, followed by their effects.
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

// removeAction returns the action of a command that removes the item named by its argument.
func removeAction(itemType string, remove func(config.Document, config.Name) (config.Document, bool)) cli.ActionFunc {
	return operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
		base, err := o.inForce(ctx)
		if err != nil {
			return err
		}
		name := config.Name(command.Args().First())
		changed, found := remove(base.document, name)
		if !found {
			return exitError{error: fmt.Errorf("no %s is named %q", itemType, name), code: exitUsage}
		}
		return o.submit(ctx, command, base, changed)
	})
}
