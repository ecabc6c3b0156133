package settings

import (
	"fmt"
	"strings"
)

// Problem describes one invalid setting.
type Problem struct {
	Flag    string
	Env     string
	Value   string
	Allowed string
}

// Problems is the error that lists all invalid settings.
type Problems []Problem

// Error returns one line for each invalid setting.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("--%s (%s) is %q, allowed: %s", problem.Flag, problem.Env, problem.Value, problem.Allowed))
	}
	return "invalid settings:\n" + strings.Join(lines, "\n")
}
