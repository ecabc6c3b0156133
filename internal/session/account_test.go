package session

import (
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// texts of the statements in the tables.
var (
	begin    = statement.Statement{Verb: statement.Begin}
	beginRO  = statement.Statement{Verb: statement.BeginRead}
	commit   = statement.Statement{Verb: statement.Commit}
	rollback = statement.Statement{Verb: statement.Rollback}
	read     = statement.Statement{Verb: statement.Read, Text: "READ a"}
	write    = statement.Statement{Verb: statement.Write, Text: "WRITE a b"}
	set      = statement.Statement{Verb: statement.Set, Name: "v", Value: "1"}
	prepare  = statement.Statement{Verb: statement.Prepare, Name: "s", Prepared: statement.Prepared{Access: model.Write, Text: "q"}}
	execute  = statement.Statement{Verb: statement.Execute, Name: "s", Text: "a b"}
	forget   = statement.Statement{Verb: statement.Forget, Name: "s"}
)

func TestTake(t *testing.T) {
	tests := map[string]struct {
		before []statement.Statement
		fail   bool // the transaction fails before the last statement
		last   statement.Statement
		want   Course
		code   model.Code
		state  statement.State
	}{
		"a lone read":                    {last: read, want: Alone},
		"a lone write":                   {last: write, want: Alone},
		"begin":                          {last: begin, want: Settled, state: statement.Open},
		"two begins":                     {before: []statement.Statement{begin}, last: begin, want: Refusing, code: model.CodeInvalid, state: statement.Open},
		"a read in a transaction":        {before: []statement.Statement{begin}, last: read, want: Joined, state: statement.Open},
		"a commit":                       {before: []statement.Statement{beginRO}, last: commit, want: Ending, state: statement.Open},
		"a commit without a transaction": {last: commit, want: Refusing, code: model.CodeInvalid},
		"a rollback without one":         {last: rollback, want: Refusing, code: model.CodeInvalid},
		"a rollback":                     {before: []statement.Statement{begin}, last: rollback, want: Undoing, state: statement.Open},
		"a read after a failure":         {before: []statement.Statement{begin}, fail: true, last: read, want: Refusing, code: model.CodeInvalid, state: statement.Failed},
		"a commit after a failure":       {before: []statement.Statement{begin}, fail: true, last: commit, want: Undoing, code: model.CodeTransactionEnded, state: statement.Failed},
		"a rollback after a failure":     {before: []statement.Statement{begin}, fail: true, last: rollback, want: Undoing, state: statement.Failed},
		"set":                            {last: set, want: Settled},
		"prepare":                        {last: prepare, want: Settled},
		"execute":                        {before: []statement.Statement{prepare}, last: execute, want: Alone},
		"execute an unknown name":        {last: execute, want: Refusing, code: model.CodeNoStatement},
		"execute a forgotten name":       {before: []statement.Statement{prepare, forget}, last: execute, want: Refusing, code: model.CodeNoStatement},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account := NewAccount()
			for _, s := range test.before {
				account.Take(s)
			}
			if test.fail {
				account.Fail()
			}
			got, refusal := account.Take(test.last)
			if got != test.want || account.State != test.state {
				t.Errorf("got course %v and state %v, want %v and %v", got, account.State, test.want, test.state)
			}
			code := model.Code("")
			if refusal != nil {
				code = refusal.Code
			}
			if code != test.code {
				t.Errorf("got code %q, want %q", code, test.code)
			}
		})
	}
}

func TestAccountStaysBounded(t *testing.T) {
	account := NewAccount()
	var refusal *model.Refusal
	for i := range 2 * nameLimit {
		_, refusal = account.Take(statement.Statement{Verb: statement.Prepare, Name: string(rune('a' + i)), Prepared: statement.Prepared{Access: model.Read, Text: "q"}})
	}
	if refusal == nil || refusal.Code != model.CodeTooLarge {
		t.Errorf("got %v, want a refusal as too large", refusal)
	}
	if got := len(account.Names); got > nameLimit {
		t.Errorf("got %d names, want at most %d", got, nameLimit)
	}
}

func TestAlign(t *testing.T) {
	shape := statement.Prepared{Access: model.Write, Text: "q"}
	account := func(values map[string]string, names map[string]statement.Prepared) *Account {
		a := NewAccount()
		if values != nil {
			a.Values = values
		}
		if names != nil {
			a.Names = names
		}
		return a
	}
	tests := map[string]struct {
		earlier *Account // used the connection before
		account *Account
		s       statement.Statement
		want    []statement.Verb
		name    string
	}{
		"nothing to do":             {account: account(nil, nil), s: read},
		"a new value":               {account: account(map[string]string{"v": "1"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"the same value":            {earlier: account(map[string]string{"v": "1"}, nil), account: account(map[string]string{"v": "1"}, nil), s: read},
		"another value":             {earlier: account(map[string]string{"v": "1"}, nil), account: account(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"a value that is foreign":   {earlier: account(map[string]string{"w": "1"}, nil), account: account(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a prepared name":           {account: account(nil, map[string]statement.Prepared{"s": shape}), s: execute, want: []statement.Verb{statement.Prepare}, name: "p1"},
		"its shape under any name":  {earlier: account(nil, map[string]statement.Prepared{"s": shape}), account: account(nil, map[string]statement.Prepared{"s": shape}), s: execute, name: "p1"},
		"a foreign value clears it": {earlier: account(map[string]string{"w": "1"}, map[string]statement.Prepared{"s": shape}), account: account(nil, map[string]statement.Prepared{"s": shape}), s: execute, want: []statement.Verb{statement.Reset, statement.Prepare}, name: "p2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			footing := NewFooting()
			if test.earlier != nil {
				s := read
				if len(test.earlier.Names) > 0 {
					s = execute
				}
				footing.Align(test.earlier, s, nil)
			}
			commands, aligned := footing.Align(test.account, test.s, nil)
			if len(commands) != len(test.want) {
				t.Fatalf("got commands %v, want %v", commands, test.want)
			}
			for i, command := range commands {
				if command.Verb != test.want[i] || command.ID != "" {
					t.Errorf("got command %v, want verb %v of the host's own", command, test.want[i])
				}
			}
			if test.s.Verb == statement.Execute && aligned.Name != test.name {
				t.Errorf("got name %q, want %q", aligned.Name, test.name)
			}
		})
	}
}
