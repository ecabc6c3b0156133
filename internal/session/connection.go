package session

import (
	"maps"
	"slices"
	"strconv"

	"redwingspread/internal/statement"
)

// maxConnectionPrepared is the number of prepared statements at which a connection is reset, which bounds what an instance
// holds for it.
const maxConnectionPrepared = 512

// ConnectionState tracks the session variables and prepared statements on a pooled connection to an instance.
type ConnectionState struct {
	values      map[string]string             // session variables by name
	prepared    map[statement.Prepared]string // names of the prepared statements
	namesIssued int                           // number of names issued so far; a name is never reused
}

// NewConnectionState returns the state of a newly opened connection.
func NewConnectionState() *ConnectionState {
	return &ConnectionState{values: make(map[string]string), prepared: make(map[statement.Prepared]string)}
}

// Sync appends the commands that give the connection exactly the session's variables and, for an Execute, its prepared
// statement. It also returns the statement, for an Execute with the name under which the connection has it prepared.
func (c *ConnectionState) Sync(session *Session, s statement.Statement, commands []statement.Command) ([]statement.Command, statement.Statement) {
	if c.hasExtraValue(session) || len(c.prepared) >= maxConnectionPrepared {
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Reset}))
		clear(c.values)
		clear(c.prepared)
	}
	for _, name := range slices.Sorted(maps.Keys(session.Values)) {
		value := session.Values[name]
		if held, found := c.values[name]; found && held == value {
			continue
		}
		c.values[name] = value
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Set, Name: name, Value: value}))
	}
	if s.Verb != statement.Execute {
		return commands, s
	}
	definition := session.Prepared[s.Name]
	name, found := c.prepared[definition]
	if !found {
		c.namesIssued++
		name = "p" + strconv.Itoa(c.namesIssued)
		c.prepared[definition] = name
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Prepare, Name: name, Prepared: definition}))
	}
	s.Name = name
	return commands, s
}

// hasExtraValue reports whether the connection has a variable that the session has not set.
func (c *ConnectionState) hasExtraValue(session *Session) bool {
	for name := range c.values {
		if _, found := session.Values[name]; !found {
			return true
		}
	}
	return false
}

// hostCommand returns a command that the host itself issues; unlike a caller's command it has no id.
func hostCommand(s statement.Statement) statement.Command {
	return statement.Command{Statement: s}
}
