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
	prepare  = statement.Statement{Verb: statement.Prepare, Name: "s", Shape: statement.Shape{Access: model.Write, Text: "q"}}
	execute  = statement.Statement{Verb: statement.Execute, Name: "s", Text: "a b"}
	forget   = statement.Statement{Verb: statement.Forget, Name: "s"}
)

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		before []statement.Statement
		fail   bool // the transaction fails before the last statement
		last   statement.Statement
		want   Action
		code   model.Code
		state  statement.State
	}{
		"a lone read":                    {last: read, want: RunAlone},
		"a lone write":                   {last: write, want: RunAlone},
		"begin":                          {last: begin, want: AnswerLocally, state: statement.Open},
		"two begins":                     {before: []statement.Statement{begin}, last: begin, want: RefuseRequest, code: model.CodeInvalid, state: statement.Open},
		"a read in a transaction":        {before: []statement.Statement{begin}, last: read, want: RunInTransaction, state: statement.Open},
		"a commit":                       {before: []statement.Statement{beginRO}, last: commit, want: CommitTransaction, state: statement.Open},
		"a commit without a transaction": {last: commit, want: RefuseRequest, code: model.CodeInvalid},
		"a rollback without one":         {last: rollback, want: RefuseRequest, code: model.CodeInvalid},
		"a rollback":                     {before: []statement.Statement{begin}, last: rollback, want: RollBackTransaction, state: statement.Open},
		"a read after a failure":         {before: []statement.Statement{begin}, fail: true, last: read, want: RefuseRequest, code: model.CodeInvalid, state: statement.Failed},
		"a commit after a failure":       {before: []statement.Statement{begin}, fail: true, last: commit, want: RollBackTransaction, code: model.CodeTransactionEnded, state: statement.Failed},
		"a rollback after a failure":     {before: []statement.Statement{begin}, fail: true, last: rollback, want: RollBackTransaction, state: statement.Failed},
		"set":                            {last: set, want: AnswerLocally},
		"prepare":                        {last: prepare, want: AnswerLocally},
		"execute":                        {before: []statement.Statement{prepare}, last: execute, want: RunAlone},
		"execute an unknown name":        {last: execute, want: RefuseRequest, code: model.CodeNoStatement},
		"execute a forgotten name":       {before: []statement.Statement{prepare, forget}, last: execute, want: RefuseRequest, code: model.CodeNoStatement},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account := NewSession()
			for _, s := range test.before {
				account.Decide(s)
			}
			if test.fail {
				account.FailTransaction()
			}
			got, refusal := account.Decide(test.last)
			if got != test.want || account.Transaction != test.state {
				t.Errorf("got course %v and state %v, want %v and %v", got, account.Transaction, test.want, test.state)
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

func TestPreparedLimit(t *testing.T) {
	account := NewSession()
	var refusal *model.Refusal
	for i := range 2 * maxPrepared {
		_, refusal = account.Decide(statement.Statement{Verb: statement.Prepare, Name: string(rune('a' + i)), Shape: statement.Shape{Access: model.Read, Text: "q"}})
	}
	if refusal == nil || refusal.Code != model.CodeTooLarge {
		t.Errorf("got %v, want a refusal as too large", refusal)
	}
	if got := len(account.Prepared); got > maxPrepared {
		t.Errorf("got %d names, want at most %d", got, maxPrepared)
	}
}

func TestSync(t *testing.T) {
	shape := statement.Shape{Access: model.Write, Text: "q"}
	account := func(values map[string]string, names map[string]statement.Shape) *Session {
		a := NewSession()
		if values != nil {
			a.Values = values
		}
		if names != nil {
			a.Prepared = names
		}
		return a
	}
	tests := map[string]struct {
		earlier *Session // used the connection before
		account *Session
		s       statement.Statement
		want    []statement.Verb
		name    string
	}{
		"nothing to do":             {account: account(nil, nil), s: read},
		"a new value":               {account: account(map[string]string{"v": "1"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"the same value":            {earlier: account(map[string]string{"v": "1"}, nil), account: account(map[string]string{"v": "1"}, nil), s: read},
		"another value":             {earlier: account(map[string]string{"v": "1"}, nil), account: account(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"a value that is foreign":   {earlier: account(map[string]string{"w": "1"}, nil), account: account(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a prepared name":           {account: account(nil, map[string]statement.Shape{"s": shape}), s: execute, want: []statement.Verb{statement.Prepare}, name: "p1"},
		"its shape under any name":  {earlier: account(nil, map[string]statement.Shape{"s": shape}), account: account(nil, map[string]statement.Shape{"s": shape}), s: execute, name: "p1"},
		"a foreign value clears it": {earlier: account(map[string]string{"w": "1"}, map[string]statement.Shape{"s": shape}), account: account(nil, map[string]statement.Shape{"s": shape}), s: execute, want: []statement.Verb{statement.Reset, statement.Prepare}, name: "p2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			footing := NewConnectionState()
			if test.earlier != nil {
				s := read
				if len(test.earlier.Prepared) > 0 {
					s = execute
				}
				footing.Sync(test.earlier, s, nil)
			}
			commands, aligned := footing.Sync(test.account, test.s, nil)
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
