package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"redwingspread/internal/config"
)

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table with a line of headings.
func newTable(w io.Writer, headings ...string) table {
	t := table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.add(headings...)
	return t
}

// add adds one line; the writer reports its errors at the end.
func (t table) add(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// print writes the table.
func (t table) print() error {
	return t.w.Flush()
}

// printDifferences prints the places that differ: - for what goes and + for what comes.
func printDifferences(w io.Writer, differences []config.Difference) error {
	for _, difference := range differences {
		if _, err := fmt.Fprintln(w, difference.Path); err != nil {
			return err
		}
		if err := printDiffLine(w, "-", difference.Old); err != nil {
			return err
		}
		if err := printDiffLine(w, "+", difference.New); err != nil {
			return err
		}
	}
	return nil
}

// printDiffLine prints one side of a difference, if there is one.
func printDiffLine(w io.Writer, sign, text string) error {
	if text == "" {
		return nil
	}
	_, err := fmt.Fprintf(w, "  %s %s\n", sign, text)
	return err
}

// printEffects prints the settings in force that change.
func printEffects(w io.Writer, effects []config.Effect) error {
	if len(effects) == 0 {
		_, err := fmt.Fprintln(w, "no setting in force changes")
		return err
	}
	t := newTable(w, "\nWHERE", "KIND", "SETTING", "NOW", "THEN")
	for _, effect := range effects {
		t.add(scopeText(effect.Scope), string(effect.Scope.Kind), string(effect.Setting), orDash(effect.Old), orDash(effect.New))
	}
	return t.print()
}

// scopeText names a place in words.
func scopeText(at config.Scope) string {
	e := config.Exception{Database: at.Database, DataCentre: at.DataCentre, Region: at.Region}
	if words := e.Where(); words != "" {
		return words
	}
	return "everywhere else"
}

// orDash returns a text, or a dash for none.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
