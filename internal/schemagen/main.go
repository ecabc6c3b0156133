package main

import (
	"bytes"
	"embed"
	"fmt"
	"go/format"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/goccy/go-yaml"
)

//go:embed templates
var templates embed.FS

// output is a generated file and its template.
type output struct {
	template string
	path     string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: schemagen ROOT")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate writes all generated files below the root of the repository.
func generate(root string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("schemagen: %w", err)
		}
	}()
	var settings settingsSchema
	if err := readSchema(root, "schema/settings.yaml", &settings); err != nil {
		return err
	}
	if err := settings.check(); err != nil {
		return err
	}
	var events eventsSchema
	if err := readSchema(root, "schema/events.yaml", &events); err != nil {
		return err
	}
	if err := events.check(); err != nil {
		return err
	}
	var line lineSchema
	if err := readSchema(root, "platform/schema/line.yaml", &line); err != nil {
		return err
	}
	if err := line.check(); err != nil {
		return err
	}
	if err := render(root, line, output{"line.go.tmpl", "platform/line_gen.go"}); err != nil {
		return err
	}
	if err := render(root, settings, output{"settings.go.tmpl", "internal/settings/settings_gen.go"}); err != nil {
		return err
	}
	if err := render(root, settings, output{"settings.md.tmpl", "docs/SETTINGS.md"}); err != nil {
		return err
	}
	if err := render(root, events, output{"events.go.tmpl", "internal/event/events_gen.go"}); err != nil {
		return err
	}
	return render(root, events, output{"events.md.tmpl", "docs/EVENTS.md"})
}

// readSchema parses one schema file and rejects unknown keys.
func readSchema(root, name string, target any) error {
	content, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		return err
	}
	return yaml.UnmarshalWithOptions(content, target, yaml.Strict())
}

// render writes one generated file; Go code is formatted.
func render(root string, schema any, out output) error {
	tmpl, err := template.New(out.template).Funcs(functions).ParseFS(templates, "templates/"+out.template)
	if err != nil {
		return err
	}
	var content bytes.Buffer
	if err := tmpl.Execute(&content, schema); err != nil {
		return err
	}
	text := content.Bytes()
	if strings.HasSuffix(out.path, ".go") {
		if text, err = format.Source(text); err != nil {
			return fmt.Errorf("%s: %w", out.path, err)
		}
	}
	path := filepath.Join(root, out.path)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// functions are the functions that the templates can call.
var functions = template.FuncMap{
	"goName": goName,
	"join":   strings.Join,
	"quote":  func(s string) string { return fmt.Sprintf("%q", s) },
	"cell":   func(s string) string { return strings.ReplaceAll(s, "|", "\\|") },
}

// goName converts the name of a flag into an exported Go name.
func goName(flag string) string {
	var name strings.Builder
	for part := range strings.SplitSeq(flag, "-") {
		switch part {
		case "id", "tls", "ca", "otlp", "ms", "http":
			name.WriteString(strings.ToUpper(part))
		default:
			name.WriteString(strings.ToUpper(part[:1]) + part[1:])
		}
	}
	return name.String()
}
