package session

import (
	"maps"
	"slices"
	"strconv"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// maxConnectionPrepared is the number of prepared statements at which a connection is reset, which bounds what an instance
// holds for it.
const maxConnectionPrepared = 512

// ConnectionState tracks the session variables and prepared statements on a pooled connection to an instance.
//
// Only what the instance has acknowledged counts: each command that Sync returns is reported to Acknowledge once it has been
// answered. After a refusal, or while answers are outstanding, what the connection holds is uncertain, and the next Sync
// begins with a reset.
type ConnectionState struct {
	values      map[string]string             // acknowledged session variables by name
	prepared    map[statement.Prepared]string // names of the acknowledged prepared statements
	namesIssued int                           // number of names issued so far; a name is never reused
	unanswered  int                           // commands that Sync returned and that have not been answered
	uncertain   bool                          // the connection may hold something else
	room        *budget.Account               // of the memory that values and prepared statements take; nil for no limit
	size        model.Bytes                   // of values and prepared statements
}

// NewConnectionState returns the state of a newly opened connection.
func NewConnectionState() *ConnectionState {
	return &ConnectionState{values: make(map[string]string), prepared: make(map[statement.Prepared]string)}
}

// SetRoom sets the account of the memory that the state takes, which outlives the session that it comes from.
func (c *ConnectionState) SetRoom(room *budget.Account) { c.room = room }

// reserve takes memory for another entry. Without memory the entry is not tracked, so that the next Sync begins with a reset.
func (c *ConnectionState) reserve(size model.Bytes) bool {
	if c.room != nil && c.room.Resize(c.size+size) != nil {
		c.uncertain = true
		return false
	}
	c.size += size
	return true
}

// clear removes all entries.
func (c *ConnectionState) clear() {
	clear(c.values)
	clear(c.prepared)
	c.size = 0
	if c.room != nil {
		_ = c.room.Resize(0) // a smaller size is not refused
	}
}

// Sync appends the commands that give the connection exactly the session's variables and, for an Execute, its prepared
// statement. It also returns the statement, for an Execute with the name under which the connection has it prepared.
func (c *ConnectionState) Sync(session *Session, s statement.Statement, commands []statement.Command) ([]statement.Command, statement.Statement) {
	before := len(commands)
	reset := c.uncertain || c.unanswered > 0 || c.hasExtraValue(session) || len(c.prepared) >= maxConnectionPrepared
	if reset {
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Reset}))
	}
	for _, name := range slices.Sorted(maps.Keys(session.Values)) {
		value := session.Values[name]
		if held, found := c.values[name]; found && held == value && !reset {
			continue
		}
		commands = append(commands, hostCommand(statement.Statement{Verb: statement.Set, Name: name, Value: value}))
	}
	if s.Verb == statement.Execute {
		definition := session.Prepared[s.Name]
		name, found := c.prepared[definition]
		if !found || reset {
			c.namesIssued++
			name = "p" + strconv.Itoa(c.namesIssued)
			commands = append(commands, hostCommand(statement.Statement{Verb: statement.Prepare, Name: name, Prepared: definition}))
		}
		s.Name = name
	}
	c.unanswered = len(commands) - before
	return commands, s
}

// Acknowledge records the instance's answer to a command that Sync returned; the answers come in the order of the commands.
func (c *ConnectionState) Acknowledge(s statement.Statement, succeeded bool) {
	c.unanswered--
	if !succeeded {
		c.uncertain = true
		return
	}
	switch s.Verb {
	case statement.Reset:
		c.clear()
		c.uncertain = false
	case statement.Set:
		if c.reserve(entrySize(s.Name, s.Value) - c.heldSize(s.Name)) {
			c.values[s.Name] = s.Value
		}
	case statement.Prepare:
		if c.reserve(entrySize(s.Name, s.Prepared.Text)) {
			c.prepared[s.Prepared] = s.Name
		}
	}
}

// heldSize returns the memory of a variable, or zero if the connection does not have it.
func (c *ConnectionState) heldSize(name string) model.Bytes {
	value, found := c.values[name]
	if !found {
		return 0
	}
	return entrySize(name, value)
}

// Distrust makes the next Sync begin with a reset, as when the instance denies having a statement that it had acknowledged.
func (c *ConnectionState) Distrust() { c.uncertain = true }

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
