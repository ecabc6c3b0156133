package main

import (
	"fmt"
	"strings"
)

// settingsSchema is the content of schema/settings.yaml.
type settingsSchema struct {
	Groups []settingsGroup `yaml:"groups"`
}

// settingsGroup is the settings of one kind of process.
type settingsGroup struct {
	Name     string    `yaml:"name"`
	Summary  string    `yaml:"summary"`
	Settings []setting `yaml:"settings"`
}

// setting is one setting, which is read from a flag or an environment variable.
type setting struct {
	Name      string   `yaml:"name"`
	Type      string   `yaml:"type"`
	ModelType string   `yaml:"named"` // type in package model that holds the value; empty for none
	Default   string   `yaml:"default"`
	Required  bool     `yaml:"required"`
	Min       string   `yaml:"min"`
	Max       string   `yaml:"max"`
	Allowed   []string `yaml:"allowed"`
	Help      string   `yaml:"help"`
}

// goTypeByType maps the types of settings to Go types.
var goTypeByType = map[string]string{
	"string":   "string",
	"address":  "model.Address",
	"duration": "time.Duration",
	"int":      "int",
	"number":   "float64",
	"list":     "[]string",
	"enum":     "string",
	"secret":   "Secret",
}

// check rejects settings of an unknown type.
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
	if s.ModelType != "" {
		return "model." + s.ModelType
	}
	return goTypeByType[s.Type]
}

// AllowedText describes the allowed values of the setting.
func (s setting) AllowedText() string {
	descriptions := map[string]string{
		"string":   "a string",
		"address":  "an IP address and a port",
		"duration": "a duration such as 250ms or 10s",
		"int":      "a whole number",
		"number":   "a number",
		"list":     "strings separated by commas",
		"enum":     "one of " + strings.Join(s.Allowed, ", "),
		"secret":   "a secret string",
	}
	text := descriptions[s.Type]
	if s.Type == "secret" && s.Min != "" {
		text += " of at least " + s.Min + " bytes"
	} else if s.Min != "" || s.Max != "" {
		text += " from " + s.Min + " to " + s.Max
	}
	if !s.Required && s.Default == "" {
		text += ", or empty"
	}
	return text
}
