package settings

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"
)

// fileEnv names the environment variable with the path of the settings file.
const fileEnv = "REDWINGSPREAD_SETTINGS"

// FileFlag returns the flag of a file with settings, which go before flags and environment.
func FileFlag() cli.Flag {
	return textFlag("settings", fileEnv, "", "File with settings, a line `name: value` each; they go before flags and environment.")
}

// Reloader gives settings by the file that the flag names, or else by flags and environment.
type Reloader struct {
	path   string
	source Source
}

// LoadFrontWithFile reads and checks the settings of a host.
func LoadFrontWithFile(source Source) (file Reloader, loaded Front, err error) {
	file = Reloader{path: source.String("settings"), source: source}
	loaded, err = file.Reload()
	return file, loaded, err
}

// Reload reads and checks the settings again.
func (f Reloader) Reload() (loaded Front, err error) {
	texts, err := f.read()
	if err != nil {
		return loaded, fmt.Errorf("settings: %w", err)
	}
	return LoadFront(fileOverlay{texts, f.source})
}

// read reads the file, if there is one; unknown names are left for newer versions.
func (f Reloader) read() (texts map[string]string, err error) {
	if f.path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	return texts, yaml.Unmarshal(content, &texts)
}

// fileOverlay gives a file's settings before those of another source.
type fileOverlay struct {
	values   map[string]string
	fallback Source
}

// String returns the text of a setting.
func (o fileOverlay) String(name string) string {
	if text, found := o.values[name]; found {
		return text
	}
	return o.fallback.String(name)
}
