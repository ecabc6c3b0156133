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

// stdinName is the file name that selects standard input.
const stdinName = "-"

// exportFile is the JSON format of exports: a document and the version that it was exported from.
type exportFile struct {
	Version  model.Version   `json:"version"`
	Document json.RawMessage `json:"document"`
}

// newConfigExport returns the command that prints the configuration in the format that import reads.
func newConfigExport() *cli.Command {
	return &cli.Command{
		Name:  "export",
		Usage: "print the configuration as JSON to edit and import",
		Description: `Example:
  redwingspread config export > configuration.json`,
		Flags: operatorFlags(&cli.Uint64Flag{Name: "version", Usage: "accepted version to export (default: the version in force)"}),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			selected, err := o.documentToPrint(ctx, command)
			if err != nil {
				return err
			}
			return printExport(o.out, selected)
		}),
	}
}

// newConfigImport returns the command that replaces the whole configuration.
func newConfigImport() *cli.Command {
	return &cli.Command{
		Name:      "import",
		Usage:     "replace the whole configuration with an edited export",
		ArgsUsage: "FILE",
		Description: `FILE is an export, or - for standard input. The change is refused with a conflict if another
one was accepted after the export.

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
			base, err := o.importBase(ctx, edited)
			if err != nil {
				return err
			}
			return o.submit(ctx, command, base, edited.document)
		}),
	}
}

// importBase returns the configuration that a file was exported from; the version in force needs no further call.
func (o *operatorClient) importBase(ctx context.Context, edited versionedDocument) (versionedDocument, error) {
	current, err := o.inForce(ctx)
	if err != nil || current.version == edited.version {
		return current, err
	}
	return o.acceptedVersion(ctx, edited.version)
}

// readExportFile reads and decodes an export.
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
		return versionedDocument{}, errors.New("no document; `redwingspread config export` prints the expected format")
	}
	document, err := config.Decode(string(parsed.Document))
	return versionedDocument{version: parsed.Version, document: document}, err
}

// readInput reads a file or standard input.
func readInput(name string, in io.Reader) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

// printExport prints a configuration in the export format.
func printExport(w io.Writer, selected versionedDocument) error {
	text, err := exportText(selected.version, selected.document)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// exportText encodes a configuration in the export format.
func exportText(version model.Version, document config.Document) (text []byte, err error) {
	encoded, err := config.Encode(document)
	if err != nil {
		return nil, err
	}
	text, err = json.MarshalIndent(exportFile{Version: version, Document: json.RawMessage(encoded)}, "", "  ")
	return append(text, '\n'), err
}
