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

// File gives settings by the file that the flag names, or else by flags and environment.
type File struct {
	path   string
	source Source
}

// LoadFrontFile reads and checks the settings of a host.
func LoadFrontFile(source Source) (file File, loaded Front, err error) {
	file = File{path: source.String("settings"), source: source}
	loaded, err = file.Reload()
	return file, loaded, err
}

// Reload reads and checks the settings again.
func (f File) Reload() (loaded Front, err error) {
	texts, err := f.read()
	if err != nil {
		return loaded, fmt.Errorf("settings: %w", err)
	}
	return LoadFront(overlay{texts, f.source})
}

// read reads the file, if there is one; unknown names are left for newer versions.
func (f File) read() (texts map[string]string, err error) {
	if f.path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	return texts, yaml.Unmarshal(content, &texts)
}

// overlay gives a file's settings before those of another source.
type overlay struct {
	texts map[string]string
	below Source
}

// String returns the text of a setting.
func (o overlay) String(name string) string {
	if text, found := o.texts[name]; found {
		return text
	}
	return o.below.String(name)
}
