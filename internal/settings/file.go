package settings

import (
	"fmt"
	"os"

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

// read returns the settings in the file, if there is one; unknown names are ignored, since a newer version may know them.
func (r Reloader) read() (values map[string]string, err error) {
	if r.path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(r.path)
	if err != nil {
		return nil, err
	}
	return values, yaml.Unmarshal(content, &values)
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
