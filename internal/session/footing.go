package session

import (
	"maps"
	"slices"
	"strconv"

	"redwingspread/internal/statement"
)

// footingLimit is the number of prepared names after which a connection is cleared, so that instances need not hold more.
const footingLimit = 512

// Footing is what a connection to an instance holds of the sessions that used it.
type Footing struct {
	values map[string]string
	names  map[statement.Prepared]string
	made   int // names given out, which are never used twice
}

// NewFooting returns the footing of a connection that was just opened.
func NewFooting() *Footing {
	return &Footing{values: make(map[string]string), names: make(map[statement.Prepared]string)}
}

// Align returns the commands that give the connection exactly the values of the account and, for an execution, its
// prepared statement, and the statement with the name that the connection knows it by.
func (f *Footing) Align(account *Account, s statement.Statement, commands []statement.Command) ([]statement.Command, statement.Statement) {
	if f.foreign(account) || len(f.names) >= footingLimit {
		commands = append(commands, own(statement.Statement{Verb: statement.Reset}))
		clear(f.values)
		clear(f.names)
	}
	for _, name := range slices.Sorted(maps.Keys(account.Values)) {
		value := account.Values[name]
		if held, found := f.values[name]; found && held == value {
			continue
		}
		f.values[name] = value
		commands = append(commands, own(statement.Statement{Verb: statement.Set, Name: name, Value: value}))
	}
	if s.Verb != statement.Execute {
		return commands, s
	}
	shape := account.Names[s.Name]
	name, found := f.names[shape]
	if !found {
		f.made++
		name = "p" + strconv.Itoa(f.made)
		f.names[shape] = name
		commands = append(commands, own(statement.Statement{Verb: statement.Prepare, Name: name, Prepared: shape}))
	}
	s.Name = name
	return commands, s
}

// foreign reports whether the connection holds a value that the account lacks.
func (f *Footing) foreign(account *Account) bool {
	for name := range f.values {
		if _, found := account.Values[name]; !found {
			return true
		}
	}
	return false
}

// own returns a command of the host's own.
func own(s statement.Statement) statement.Command {
	return statement.Command{Statement: s}
}
