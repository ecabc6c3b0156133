package settings

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
)

// Source returns the value of a setting as text, by the name of its flag.
type Source interface {
	String(name string) string
}

// Secret is a string that String does not reveal.
type Secret string

// String returns a placeholder instead of the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// rule defines the allowed values of one setting.
type rule struct {
	flag     string
	env      string
	allowed  string // description of the allowed values
	required bool
	min      string   // lower limit, for a secret of its length in bytes; empty for none
	max      string   // upper limit; empty for none
	options  []string // values of an enum
}

// reader reads settings and collects the problems with them.
type reader struct {
	source   Source
	problems Problems
}

// textFlag returns the flag of a setting; the reader checks its value later.
func textFlag(name, env, value, help string) cli.Flag {
	return &cli.StringFlag{Name: name, Sources: cli.EnvVars(env), Value: value, Usage: help}
}

// err returns the collected problems, or nil.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// reject records an invalid value.
func (r *reader) reject(rule rule, value string) {
	r.problems = append(r.problems, Problem{Flag: rule.flag, Env: rule.env, Value: value, Allowed: rule.allowed})
}

// text returns the value of a setting as text and whether it is set; a missing required setting is a problem.
func (r *reader) text(rule rule) (string, bool) {
	value := r.source.String(rule.flag)
	if value == "" && rule.required {
		r.reject(rule, value)
	}
	return value, value != ""
}

// parse reads a setting and records a value that the parser does not accept.
func parse[T any](r *reader, rule rule, parser func(string) (T, bool)) (parsed T) {
	text, found := r.text(rule)
	if !found {
		return parsed
	}
	parsed, ok := parser(text)
	if !ok {
		r.reject(rule, text)
	}
	return parsed
}

// within reports whether a value is within the rule's limits, if any.
func within[T int | float64 | time.Duration](value T, rule rule, parser func(string) (T, error)) bool {
	if low, err := parser(rule.min); rule.min != "" && (err != nil || value < low) {
		return false
	}
	if high, err := parser(rule.max); rule.max != "" && (err != nil || value > high) {
		return false
	}
	return true
}

func (r *reader) string(rule rule) string {
	text, _ := r.text(rule)
	return text
}

func (r *reader) address(rule rule) model.Address {
	return parse(r, rule, func(text string) (model.Address, bool) {
		_, err := netip.ParseAddrPort(text)
		return model.Address(text), err == nil
	})
}

func (r *reader) duration(rule rule) time.Duration {
	return parse(r, rule, func(text string) (time.Duration, bool) {
		value, err := time.ParseDuration(text)
		return value, err == nil && within(value, rule, time.ParseDuration)
	})
}

func (r *reader) int(rule rule) int {
	return parse(r, rule, func(text string) (int, bool) {
		value, err := strconv.Atoi(text)
		return value, err == nil && within(value, rule, strconv.Atoi)
	})
}

func (r *reader) number(rule rule) float64 {
	return parse(r, rule, func(text string) (float64, bool) {
		value, err := parseNumber(text)
		return value, err == nil && within(value, rule, parseNumber)
	})
}

// parseNumber parses a finite number.
func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	return value, err
}

func (r *reader) list(rule rule) []string {
	return parse(r, rule, func(text string) ([]string, bool) {
		return strings.Split(text, ","), true
	})
}

func (r *reader) enum(rule rule) string {
	return parse(r, rule, func(text string) (string, bool) {
		return text, slices.Contains(rule.options, text)
	})
}

// secret reads a secret; a problem with it does not reveal the value.
func (r *reader) secret(rule rule) Secret {
	text, found := r.text(rule)
	minLength, _ := strconv.Atoi(rule.min)
	if found && len(text) < minLength {
		r.reject(rule, Secret(text).String())
	}
	return Secret(text)
}
