package session

import (
	"strconv"
	"strings"
	"testing"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// newBudget returns a budget of which sessions may take the given amount, and connections some of it.
func newBudget(state model.Bytes) *budget.Budget {
	b := budget.New()
	b.Limit = state * 100 / 40
	return b
}

// valueOf and preparedOf return statements whose text has the size.
func valueOf(name string, size int) statement.Statement {
	return statement.Statement{Verb: statement.Set, Name: name, Value: strings.Repeat("v", size)}
}

func preparedOf(name string, size int) statement.Statement {
	return statement.Statement{Verb: statement.Prepare, Name: name, Prepared: statement.Prepared{Access: model.Read, Text: strings.Repeat("t", size)}}
}

// TestStateMemory guards against values and prepared statements that fill the host's memory, and against memory that stays counted.
func TestStateMemory(t *testing.T) {
	forget := statement.Statement{Verb: statement.Forget, Name: "a"}
	tests := map[string]struct {
		statements []statement.Statement
		refused    []bool
		used       model.Bytes
	}{
		"within the reserve":      {statements: []statement.Statement{valueOf("a", 400), preparedOf("a", 300)}, refused: []bool{false, false}},
		"beyond the reserve":      {statements: []statement.Statement{valueOf("a", 2000)}, refused: []bool{false}, used: 1 + 2000 + entryOverhead - 1000},
		"no memory for a value":   {statements: []statement.Statement{valueOf("a", 9000), valueOf("b", 2000)}, refused: []bool{false, true}, used: 1 + 9000 + entryOverhead - 1000},
		"no memory for statement": {statements: []statement.Statement{preparedOf("a", 9000), preparedOf("b", 2000)}, refused: []bool{false, true}, used: 1 + 9000 + entryOverhead - 1000},
		"replaced by a shorter":   {statements: []statement.Statement{valueOf("a", 9000), valueOf("a", 10), preparedOf("a", 9000), preparedOf("a", 10)}, refused: []bool{false, false, false, false}},
		"forgotten":               {statements: []statement.Statement{preparedOf("a", 9000), forget, preparedOf("b", 9000), forget}, refused: []bool{false, false, false, false}, used: 1 + 9000 + entryOverhead - 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBudget(10_000)
			s := NewSession()
			s.Room.Init(b, budget.State, 1000)
			for i, stmt := range test.statements {
				action, refusal := s.Decide(stmt)
				if got := action == RefuseRequest; got != test.refused[i] {
					t.Errorf("got action %v, %v for statement %d, want it refused: %v", action, refusal, i, test.refused[i])
				}
				if refusal != nil && refusal.Code != model.CodeOverloaded {
					t.Errorf("got code %q, want %q", refusal.Code, model.CodeOverloaded)
				}
			}
			if got := b.Used(); got != test.used {
				t.Errorf("got %d bytes used, want %d", got, test.used)
			}
			s.Room.Close()
			if got := b.Used(); got != 0 {
				t.Errorf("got %d bytes used after the session, want 0", got)
			}
		})
	}
}

// TestConnectionMemory guards against connections that keep the values of ended sessions without limit, and against a connection without
// memory that is taken to have what it does not track.
func TestConnectionMemory(t *testing.T) {
	b := newBudget(40_000) // of which connections may take 15,000
	var room budget.Account
	room.Init(b, budget.Pool, 0)
	c := NewConnectionState()
	c.SetRoom(&room)
	s := NewSession()
	for n := range 3 {
		s.Values["v"+strconv.Itoa(n)] = strings.Repeat("x", 6000)
	}
	read := statement.Statement{Verb: statement.Read, Text: "READ x"}
	for round := range 2 {
		commands, _ := c.Sync(s, read, nil)
		want := 3 + round // the second time with a reset before the values
		if got := len(commands); got != want {
			t.Errorf("got %d commands in round %d, want %d", got, round, want)
		}
		for _, command := range commands {
			c.Acknowledge(command.Statement, true)
		}
		if got, most := b.Used(), model.Bytes(15_000); got > most || got == 0 {
			t.Errorf("got %d bytes used in round %d, want some and at most %d", got, round, most)
		}
	}
	commands, _ := c.Sync(NewSession(), read, nil)
	if got, want := len(commands), 1; got != want {
		t.Fatalf("got %d commands for a session without values, want %d", got, want)
	}
	c.Acknowledge(commands[0].Statement, true)
	if got := b.Used(); got != 0 {
		t.Errorf("got %d bytes used after a reset, want 0", got)
	}
}
