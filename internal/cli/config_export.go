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

// exported is the form of export files: a document and the version it was made of.
type exported struct {
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
		Flags: operateFlags(&cli.Uint64Flag{Name: "version", Usage: "an accepted version in place of the one in force"}),
		Action: operateAction(func(ctx context.Context, o *operating, command *cli.Command) error {
			shown, err := o.shown(ctx, command)
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
		Action: operateAction(func(ctx context.Context, o *operating, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return exitError{error: errArguments, code: exitUsage}
			}
			edited, err := o.readFile(command.Args().First())
			if err != nil {
				return err
			}
			from, err := o.before(ctx, edited)
			if err != nil {
				return err
			}
			return o.submit(ctx, command, from, edited.document)
		}),
	}
}

// before returns the configuration that an export was made of, from the host's memory where it can be had there.
func (o *operating) before(ctx context.Context, edited base) (base, error) {
	current, err := o.inForce(ctx)
	if err != nil || current.version == edited.version {
		return current, err
	}
	return o.accepted(ctx, edited.version)
}

// readFile reads an export.
func (o *operating) readFile(name string) (edited base, err error) {
	defer func() {
		if err != nil {
			err = exitError{error: fmt.Errorf("read %s: %w", name, err), code: exitUsage}
		}
	}()
	text, err := readAll(name, o.in)
	if err != nil {
		return base{}, err
	}
	var parsed exported
	if err := json.Unmarshal(text, &parsed); err != nil {
		return base{}, err
	}
	if parsed.Document == nil {
		return base{}, errors.New("no document; `redwingspread config export` prints the form")
	}
	document, err := config.Decode(string(parsed.Document))
	return base{version: parsed.Version, document: document}, err
}

// readAll reads a file or the standard input.
func readAll(name string, in io.Reader) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

// printExport prints a configuration in the form of export files.
func printExport(w io.Writer, shown base) error {
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
	text, err = json.MarshalIndent(exported{Version: version, Document: json.RawMessage(encoded)}, "", "  ")
	return append(text, '\n'), err
}
