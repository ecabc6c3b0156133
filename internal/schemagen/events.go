package main

import (
	"fmt"
	"strings"
)

// eventsSchema is the content of schema/events.yaml.
type eventsSchema struct {
	Events []logEvent `yaml:"events"`
}

// logEvent is one numbered log event.
type logEvent struct {
	Number         int      `yaml:"number"`
	Name           string   `yaml:"name"`
	Level          string   `yaml:"level"`
	Message        string   `yaml:"message"`
	Fields         []string `yaml:"fields"` // each as name or name:type
	OperatorAction string   `yaml:"action"` // what an operator should do
}

// field is one field of an event with its Go type.
type field struct {
	Name string
	Type string
}

// loggerMethods maps the levels of the schema to the methods of the logger.
var loggerMethods = map[string]string{"debug": "Debug", "info": "Info", "warn": "Warn", "error": "Error"}

// check rejects unknown levels and duplicate numbers and names.
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
			return fmt.Errorf("events.yaml: %s is defined twice", event.Name)
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
	for _, spec := range e.Fields {
		name, typ, found := strings.Cut(spec, ":")
		if !found {
			typ = "string"
		}
		fields = append(fields, field{Name: name, Type: typ})
	}
	return fields
}

// FieldNames returns the names of the event's fields, separated by commas.
func (e logEvent) FieldNames() string {
	names := make([]string, 0, len(e.Fields))
	for _, field := range e.TypedFields() {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}
