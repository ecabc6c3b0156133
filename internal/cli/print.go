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

// table prints rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table that starts with a row of headings.
func newTable(w io.Writer, headings ...string) table {
	t := table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.add(headings...)
	return t
}

// add appends a row; print returns write errors.
func (t table) add(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// print writes the buffered table.
func (t table) print() error {
	return t.w.Flush()
}

// printDifferences prints the path of each difference, with the old value after a minus sign and the new one after a plus sign.
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

// printDiffLine prints the old or new value of a difference, unless it is empty.
func printDiffLine(w io.Writer, sign, text string) error {
	if text == "" {
		return nil
	}
	_, err := fmt.Fprintf(w, "  %s %s\n", sign, text)
	return err
}

// printEffects prints how the settings in force change.
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

// scopeText describes the database, data centre and region of a scope.
func scopeText(scope config.Scope) string {
	exception := config.Exception{Database: scope.Database, DataCentre: scope.DataCentre, Region: scope.Region}
	if text := exception.ScopeText(); text != "" {
		return text
	}
	return "everywhere else"
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
