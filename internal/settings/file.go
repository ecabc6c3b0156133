package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"
)

// fileEnv is the environment variable that holds the path of the settings file.
const fileEnv = "REDWINGSPREAD_SETTINGS"

// FileFlag returns the flag that names the settings file.
func FileFlag() cli.Flag {
	return textFlag("settings", fileEnv, "", "File with settings, one `name: value` a line; they override flags and environment.")
}

// Reloader reads the settings of a host again while it runs; the settings file overrides flags and environment.
type Reloader struct {
	path   string
	source Source
}

// LoadFrontWithFile reads and checks the settings of a host and returns a Reloader for them.
func LoadFrontWithFile(source Source) (reloader Reloader, loaded Front, err error) {
	reloader = Reloader{path: source.String("settings"), source: source}
	loaded, err = reloader.Reload()
	return reloader, loaded, err
}

// Reload reads and checks the settings again.
func (r Reloader) Reload() (loaded Front, err error) {
	values, err := r.read()
	if err != nil {
		return loaded, fmt.Errorf("settings: %w", err)
	}
	return LoadFront(fileOverlay{values, r.source})
}

// The limits of a settings file, which holds one line for each setting. They bound the work of the parser.
const (
	fileLimit    = 64 << 10 // bytes
	nestingLimit = 16       // lists and mappings inside each other
)

// Errors of a settings file that is not parsed.
var (
	errFileTooLarge = fmt.Errorf("the settings file is larger than %d bytes", fileLimit)
	errTooNested    = fmt.Errorf("the settings file has more than %d lists or mappings inside each other", nestingLimit)
)

// read returns the settings in the file, if there is one; unknown names are ignored, since a newer version may know them.
func (r Reloader) read() (values map[string]string, err error) {
	if r.path == "" {
		return nil, nil
	}
	file, err := os.Open(r.path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	content, err := io.ReadAll(io.LimitReader(file, fileLimit+1))
	switch {
	case err != nil:
		return nil, err
	case len(content) > fileLimit:
		return nil, errFileTooLarge
	case nesting(content) > nestingLimit:
		return nil, errTooNested
	}
	err = yaml.Unmarshal(content, &values)
	return values, err
}

// nestingMarks start an entry of a list or a mapping inside another one on the same line.
const nestingMarks = "-?:"

// nesting returns an upper bound of the number of lists and mappings inside each other, from the brackets that are open at once and
// the marks at the start of a line.
func nesting(content []byte) (most int) {
	open := 0
	for line := range bytes.Lines(content) {
		rest := bytes.TrimLeft(line, nestingMarks+" \t")
		marks := 0
		for _, c := range line[:len(line)-len(rest)] {
			if strings.IndexByte(nestingMarks, c) >= 0 {
				marks++
			}
		}
		most = max(most, marks)
		for _, c := range rest {
			switch c {
			case '[', '{':
				open++
			case ']', '}':
				open = max(open-1, 0)
			}
			most = max(most, open)
		}
	}
	return most
}

// fileOverlay is a source in which the settings of a file override those of another source.
type fileOverlay struct {
	values   map[string]string
	fallback Source
}

// String returns the value of a setting as text.
func (o fileOverlay) String(name string) string {
	if text, found := o.values[name]; found {
		return text
	}
	return o.fallback.String(name)
}
