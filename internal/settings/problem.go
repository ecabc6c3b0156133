package settings

import (
	"fmt"
	"strings"
)

// Problem names one bad setting and what is allowed.
type Problem struct {
	Flag    string
	Env     string
	Value   string
	Allowed string
}

// Problems is the error that lists every bad setting at once.
type Problems []Problem

// Error returns one line for each bad setting.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("--%s (%s) is %q, allowed: %s", problem.Flag, problem.Env, problem.Value, problem.Allowed))
	}
	return "bad settings:\n" + strings.Join(lines, "\n")
}
