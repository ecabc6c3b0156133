package main

import (
	"fmt"
	"strings"
)

// eventsSchema is schema/events.yaml.
type eventsSchema struct {
	Events []logEvent `yaml:"events"`
}

// logEvent is one numbered event of the log.
type logEvent struct {
	Number  int      `yaml:"number"`
	Name    string   `yaml:"name"`
	Level   string   `yaml:"level"`
	Message string   `yaml:"message"`
	Fields  []string `yaml:"fields"`
	Action  string   `yaml:"action"`
}

// field is one typed value of an event.
type field struct {
	Name string
	Type string
}

// loggerMethods maps a level of the schema to the logger's method.
var loggerMethods = map[string]string{"debug": "Debug", "info": "Info", "warn": "Warn", "error": "Error"}

// check refuses unknown levels and numbers or names that are used twice.
func (s eventsSchema) check() error {
	numbers := map[int]string{}
	names := map[string]bool{}
	for _, event := range s.Events {
		if loggerMethods[event.Level] == "" {
			return fmt.Errorf("events.yaml: %s: unknown level %q", event.Name, event.Level)
		}
		if other := numbers[event.Number]; other != "" {
			return fmt.Errorf("events.yaml: %s and %s share number %d", other, event.Name, event.Number)
		}
		if names[event.Name] {
			return fmt.Errorf("events.yaml: %s stands twice", event.Name)
		}
		numbers[event.Number] = event.Name
		names[event.Name] = true
	}
	return nil
}

// Method returns the logger's method for the event's level.
func (e logEvent) Method() string {
	return loggerMethods[e.Level]
}

// TypedFields returns the event's fields with their Go types.
func (e logEvent) TypedFields() []field {
	fields := make([]field, 0, len(e.Fields))
	for _, text := range e.Fields {
		name, typ, found := strings.Cut(text, ":")
		if !found {
			typ = "string"
		}
		fields = append(fields, field{Name: name, Type: typ})
	}
	return fields
}

// FieldNames returns the names of the event's fields.
func (e logEvent) FieldNames() string {
	names := make([]string, 0, len(e.Fields))
	for _, field := range e.TypedFields() {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}
