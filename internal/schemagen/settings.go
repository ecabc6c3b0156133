package main

import (
	"fmt"
	"strings"
)

// settingsSchema is schema/settings.yaml.
type settingsSchema struct {
	Groups []settingsGroup `yaml:"groups"`
}

// settingsGroup holds the settings of one kind of process.
type settingsGroup struct {
	Name     string    `yaml:"name"`
	Summary  string    `yaml:"summary"`
	Settings []setting `yaml:"settings"`
}

// setting is one flag and its environment variable.
type setting struct {
	Name     string   `yaml:"name"`
	Type     string   `yaml:"type"`
	Named    string   `yaml:"named"`
	Default  string   `yaml:"default"`
	Required bool     `yaml:"required"`
	Min      string   `yaml:"min"`
	Max      string   `yaml:"max"`
	Allowed  []string `yaml:"allowed"`
	Help     string   `yaml:"help"`
}

// goTypeByType maps a setting's type to the Go type that holds it.
var goTypeByType = map[string]string{
	"string":   "string",
	"address":  "model.Address",
	"duration": "time.Duration",
	"int":      "int",
	"list":     "[]string",
	"enum":     "string",
	"secret":   "Secret",
}

// check refuses settings of an unknown type.
func (s settingsSchema) check() error {
	for _, group := range s.Groups {
		for _, setting := range group.Settings {
			if goTypeByType[setting.Type] == "" {
				return fmt.Errorf("settings.yaml: %s: unknown type %q", setting.Name, setting.Type)
			}
		}
	}
	return nil
}

// Env returns the name of the setting's environment variable.
func (s setting) Env() string {
	return "REDWINGSPREAD_" + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// GoType returns the Go type of the setting's field.
func (s setting) GoType() string {
	if s.Named != "" {
		return "model." + s.Named
	}
	return goTypeByType[s.Type]
}

// AllowedText tells in words which values the setting takes.
func (s setting) AllowedText() string {
	words := map[string]string{
		"string":   "a text",
		"address":  "an IP number and a port",
		"duration": "a duration such as 250ms or 10s",
		"int":      "a whole number",
		"list":     "texts separated by commas",
		"enum":     "one of " + strings.Join(s.Allowed, ", "),
		"secret":   "a secret text",
	}
	text := words[s.Type]
	if s.Type == "secret" && s.Min != "" {
		text += " of at least " + s.Min + " bytes"
	} else if s.Min != "" || s.Max != "" {
		text += " from " + s.Min + " to " + s.Max
	}
	if !s.Required && s.Default == "" {
		text += ", or nothing"
	}
	return text
}
