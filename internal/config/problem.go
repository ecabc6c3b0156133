package config

import (
	"fmt"
	"strings"
)

// Problem describes one invalid field of a document.
type Problem struct {
	Path    string // such as exceptions[2].value
	Value   string // the invalid value as text
	Allowed string // description of the allowed values
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s is %q, allowed: %s", p.Path, p.Value, p.Allowed)
}

// Problems is the error that lists all invalid fields of a document.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return "bad configuration:\n" + strings.Join(lines, "\n")
}

// add records a problem.
func (p *Problems) add(path, value, allowed string) {
	*p = append(*p, Problem{Path: path, Value: value, Allowed: allowed})
}

// require records a problem when the condition does not hold.
func (p *Problems) require(holds bool, path string, value any, allowed string) {
	if !holds {
		p.add(path, fmt.Sprint(value), allowed)
	}
}
