package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// stdinName stands for the standard input in place of a file.
const stdinName = "-"

// exportFile is the form of export files: a document and the version it was made of.
type exportFile struct {
	Version  model.Version   `json:"version"`
	Document json.RawMessage `json:"document"`
}

// newConfigExport returns the command that prints the configuration for editing.
func newConfigExport() *cli.Command {
	return &cli.Command{
		Name:  "export",
		Usage: "print the configuration as JSON to edit and import",
		Description: `Example:
  redwingspread config export > configuration.json`,
		Flags: operatorFlags(&cli.Uint64Flag{Name: "version", Usage: "an accepted version in place of the one in force"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			shown, err := o.documentToPrint(ctx, command)
			if err != nil {
				return err
			}
			return printExport(o.out, shown)
		}),
	}
}

// newConfigImport returns the command that replaces the whole configuration.
func newConfigImport() *cli.Command {
	return &cli.Command{
		Name:      "import",
		Usage:     "replace the whole configuration by an edited export",
		ArgsUsage: "FILE",
		Description: `FILE is an export, or - for the standard input. The change is refused with a conflict
when another one was accepted since the export.

Examples:
  redwingspread config import configuration.json --author Dana --dry-run
  redwingspread config import configuration.json --author Dana`,
		Flags: changeFlags(),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return exitError{error: errArgumentCount, code: exitUsage}
			}
			edited, err := o.readExportFile(command.Args().First())
			if err != nil {
				return err
			}
			from, err := o.importBase(ctx, edited)
			if err != nil {
				return err
			}
			return o.submit(ctx, command, from, edited.document)
		}),
	}
}

// importBase returns the configuration that an export was made of, from the host's memory where it can be had there.
func (o *operatorClient) importBase(ctx context.Context, edited versionedDocument) (versionedDocument, error) {
	current, err := o.inForce(ctx)
	if err != nil || current.version == edited.version {
		return current, err
	}
	return o.acceptedVersion(ctx, edited.version)
}

// readExportFile reads an export.
func (o *operatorClient) readExportFile(name string) (edited versionedDocument, err error) {
	defer func() {
		if err != nil {
			err = exitError{error: fmt.Errorf("read %s: %w", name, err), code: exitUsage}
		}
	}()
	text, err := readInput(name, o.in)
	if err != nil {
		return versionedDocument{}, err
	}
	var parsed exportFile
	if err := json.Unmarshal(text, &parsed); err != nil {
		return versionedDocument{}, err
	}
	if parsed.Document == nil {
		return versionedDocument{}, errors.New("no document; `redwingspread config export` prints the form")
	}
	document, err := config.Decode(string(parsed.Document))
	return versionedDocument{version: parsed.Version, document: document}, err
}

// readInput reads a file or the standard input.
func readInput(name string, in io.Reader) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

// printExport prints a configuration in the form of export files.
func printExport(w io.Writer, shown versionedDocument) error {
	text, err := exportText(shown.version, shown.document)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// exportText returns a configuration in the form of export files.
func exportText(version model.Version, document config.Document) (text []byte, err error) {
	encoded, err := config.Encode(document)
	if err != nil {
		return nil, err
	}
	text, err = json.MarshalIndent(exportFile{Version: version, Document: json.RawMessage(encoded)}, "", "  ")
	return append(text, '\n'), err
}
