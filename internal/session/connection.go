package session

import (
	"maps"
	"slices"
	"strconv"

	"redwingspread/internal/statement"
)

// maxConnectionPrepared is the number of prepared names after which a connection is cleared, so that instances need not hold more.
const maxConnectionPrepared = 512

// ConnectionState is what a connection to an instance holds of the sessions that used it.
type ConnectionState struct {
	values      map[string]string
	prepared    map[statement.Shape]string
	namesIssued int // names given out, which are never used twice
}

// NewConnectionState returns the footing of a connection that was just opened.
func NewConnectionState() *ConnectionState {
	return &ConnectionState{values: make(map[string]string), prepared: make(map[statement.Shape]string)}
}

// Sync returns the commands that give the connection exactly the values of the account and, for an execution, its
// prepared statement, and the statement with the name that the connection knows it by.
func (f *ConnectionState) Sync(account *Session, s statement.Statement, commands []statement.Command) ([]statement.Command, statement.Statement) {
	if f.hasExtraValue(account) || len(f.prepared) >= maxConnectionPrepared {
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Reset}))
		clear(f.values)
		clear(f.prepared)
	}
	for _, name := range slices.Sorted(maps.Keys(account.Values)) {
		value := account.Values[name]
		if held, found := f.values[name]; found && held == value {
			continue
		}
		f.values[name] = value
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Set, Name: name, Value: value}))
	}
	if s.Verb != statement.Execute {
		return commands, s
	}
	shape := account.Prepared[s.Name]
	name, found := f.prepared[shape]
	if !found {
		f.namesIssued++
		name = "p" + strconv.Itoa(f.namesIssued)
		f.prepared[shape] = name
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Prepare, Name: name, Shape: shape}))
	}
	s.Name = name
	return commands, s
}

// hasExtraValue reports whether the connection holds a value that the account lacks.
func (f *ConnectionState) hasExtraValue(account *Session) bool {
	for name := range f.values {
		if _, found := account.Values[name]; !found {
			return true
		}
	}
	return false
}

// hostCommand returns a command of the host's own.
func hostCommand(s statement.Statement) statement.Command {
	return statement.Command{Statement: s}
}
