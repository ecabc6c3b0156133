package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
)

// Source gives the text of a setting by its flag's name.
type Source interface {
	String(name string) string
}

// Secret is a text that is never printed.
type Secret string

// String hides the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// rule tells which values one setting takes.
type rule struct {
	flag     string
	env      string
	allowed  string
	required bool
	min      string
	max      string
	options  []string
}

// reader reads settings and gathers the bad ones.
type reader struct {
	source   Source
	problems Problems
}

// textFlag returns the flag of a setting; its text is checked by the reader.
func textFlag(name, env, value, help string) cli.Flag {
	return &cli.StringFlag{Name: name, Sources: cli.EnvVars(env), Value: value, Usage: help}
}

// err returns the gathered problems, or nil.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// reject records a bad value.
func (r *reader) reject(rule rule, value string) {
	r.problems = append(r.problems, Problem{Flag: rule.flag, Env: rule.env, Value: value, Allowed: rule.allowed})
}

// text returns a setting's text and whether there is one to parse.
func (r *reader) text(rule rule) (string, bool) {
	value := r.source.String(rule.flag)
	if value == "" && rule.required {
		r.reject(rule, value)
	}
	return value, value != ""
}

// parse reads a setting and rejects a text that the parser refuses.
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

// within reports whether a value lies between the rule's limits, where there are any.
func within[T int | time.Duration](value T, rule rule, parser func(string) (T, error)) bool {
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

// secret reads a secret and never repeats it in a problem.
func (r *reader) secret(rule rule) Secret {
	text, found := r.text(rule)
	least, _ := strconv.Atoi(rule.min)
	if found && len(text) < least {
		r.reject(rule, Secret(text).String())
	}
	return Secret(text)
}
