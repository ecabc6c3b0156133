package session

import (
	"slices"
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// Statements that the test tables share.
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

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		before []statement.Statement
		fail   bool // mark the transaction as failed before the last statement
		last   statement.Statement
		want   Action
		code   model.Code
		state  statement.State
	}{
		"a read outside a transaction":     {last: read, want: RunAutocommit},
		"a write outside a transaction":    {last: write, want: RunAutocommit},
		"begin":                            {last: begin, want: AnswerLocally, state: statement.Open},
		"begin in a transaction":           {before: []statement.Statement{begin}, last: begin, want: RefuseRequest, code: model.CodeInvalid, state: statement.Open},
		"a read in a transaction":          {before: []statement.Statement{begin}, last: read, want: RunInTransaction, state: statement.Open},
		"a commit":                         {before: []statement.Statement{beginRO}, last: commit, want: CommitTransaction, state: statement.Open},
		"a commit without a transaction":   {last: commit, want: RefuseRequest, code: model.CodeInvalid},
		"a rollback without a transaction": {last: rollback, want: RefuseRequest, code: model.CodeInvalid},
		"a rollback":                       {before: []statement.Statement{begin}, last: rollback, want: RollBackTransaction, state: statement.Open},
		"a read after a failure":           {before: []statement.Statement{begin}, fail: true, last: read, want: RefuseRequest, code: model.CodeInvalid, state: statement.Failed},
		"a commit after a failure":         {before: []statement.Statement{begin}, fail: true, last: commit, want: RollBackTransaction, code: model.CodeTransactionEnded, state: statement.Failed},
		"a rollback after a failure":       {before: []statement.Statement{begin}, fail: true, last: rollback, want: RollBackTransaction, state: statement.Failed},
		"set":                              {last: set, want: AnswerLocally},
		"prepare":                          {last: prepare, want: AnswerLocally},
		"execute":                          {before: []statement.Statement{prepare}, last: execute, want: RunAutocommit},
		"execute an unprepared name":       {last: execute, want: RefuseRequest, code: model.CodeNoStatement},
		"execute a forgotten name":         {before: []statement.Statement{prepare, forget}, last: execute, want: RefuseRequest, code: model.CodeNoStatement},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session := NewSession()
			for _, s := range test.before {
				session.Decide(s)
			}
			if test.fail {
				session.FailTransaction()
			}
			got, refusal := session.Decide(test.last)
			if got != test.want || session.Transaction != test.state {
				t.Errorf("got action %v and transaction state %v, want %v and %v", got, session.Transaction, test.want, test.state)
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
	session := NewSession()
	var refusal *model.Refusal
	for i := range 2 * maxPrepared {
		_, refusal = session.Decide(statement.Statement{Verb: statement.Prepare, Name: string(rune('a' + i)), Prepared: statement.Prepared{Access: model.Read, Text: "q"}})
	}
	if refusal == nil || refusal.Code != model.CodeTooLarge {
		t.Errorf("got %v, want a refusal with CodeTooLarge", refusal)
	}
	if got := len(session.Prepared); got > maxPrepared {
		t.Errorf("got %d names, want at most %d", got, maxPrepared)
	}
}

func TestSync(t *testing.T) {
	definition := statement.Prepared{Access: model.Write, Text: "q"}
	session := func(values map[string]string, prepared map[string]statement.Prepared) *Session {
		sess := NewSession()
		if values != nil {
			sess.Values = values
		}
		if prepared != nil {
			sess.Prepared = prepared
		}
		return sess
	}
	tests := map[string]struct {
		earlier *Session // session that used the connection before; nil for a new connection
		session *Session
		s       statement.Statement
		want    []statement.Verb
		name    string
	}{
		"no session state":                {session: session(nil, nil), s: read},
		"a new value":                     {session: session(map[string]string{"v": "1"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"the same value":                  {earlier: session(map[string]string{"v": "1"}, nil), session: session(map[string]string{"v": "1"}, nil), s: read},
		"another value":                   {earlier: session(map[string]string{"v": "1"}, nil), session: session(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Set}},
		"a value the session lacks":       {earlier: session(map[string]string{"w": "1"}, nil), session: session(map[string]string{"v": "2"}, nil), s: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a statement not yet prepared":    {session: session(nil, map[string]statement.Prepared{"s": definition}), s: execute, want: []statement.Verb{statement.Prepare}, name: "p1"},
		"a statement already prepared":    {earlier: session(nil, map[string]statement.Prepared{"s": definition}), session: session(nil, map[string]statement.Prepared{"s": definition}), s: execute, name: "p1"},
		"reset drops prepared statements": {earlier: session(map[string]string{"w": "1"}, map[string]statement.Prepared{"s": definition}), session: session(nil, map[string]statement.Prepared{"s": definition}), s: execute, want: []statement.Verb{statement.Reset, statement.Prepare}, name: "p2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connection := NewConnectionState()
			if test.earlier != nil {
				s := read
				if len(test.earlier.Prepared) > 0 {
					s = execute
				}
				commands, _ := connection.Sync(test.earlier, s, nil)
				for _, command := range commands {
					connection.Acknowledge(command.Statement, true)
				}
			}
			commands, rewritten := connection.Sync(test.session, test.s, nil)
			if len(commands) != len(test.want) {
				t.Fatalf("got commands %v, want %v", commands, test.want)
			}
			for i, command := range commands {
				if command.Verb != test.want[i] || command.ID != "" {
					t.Errorf("got command %v, want verb %v without a caller's id", command, test.want[i])
				}
			}
			if test.s.Verb == statement.Execute && rewritten.Name != test.name {
				t.Errorf("got name %q, want %q", rewritten.Name, test.name)
			}
		})
	}
}

// TestConnectionStateAfterRefusal guards against a connection that counts values or prepared statements as held by the instance
// although the instance has refused them, or has not answered.
func TestConnectionStateAfterRefusal(t *testing.T) {
	definition := statement.Prepared{Access: model.Read, Text: "q"}
	north := &Session{Values: map[string]string{"tenant": "north"}}
	south := &Session{Values: map[string]string{"tenant": "south"}}
	prepared := &Session{Values: map[string]string{"tenant": "north"}, Prepared: map[string]statement.Prepared{"s": definition}}
	tests := map[string]struct {
		s       *Session
		answers []bool // to the commands of the session, in turn; commands without one are not answered
		next    *Session
		last    statement.Statement // of the next session
		want    []statement.Verb
	}{
		"a value is acknowledged":                   {s: south, answers: []bool{true}, next: south, last: read},
		"a value is refused":                        {s: south, answers: []bool{false}, next: south, last: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a value is refused, the old one is wanted": {s: south, answers: []bool{false}, next: north, last: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a value is not answered":                   {s: south, next: south, last: read, want: []statement.Verb{statement.Reset, statement.Set}},
		"a reset is refused, and the value after it": {s: &Session{Values: map[string]string{"language": "kk"}}, answers: []bool{false, false}, next: north, last: read,
			want: []statement.Verb{statement.Reset, statement.Set}},
		"a reset is acknowledged, the value after it refused": {s: &Session{Values: map[string]string{"language": "kk"}}, answers: []bool{true, false}, next: &Session{}, last: read,
			want: []statement.Verb{statement.Reset}},
		"a prepared statement is acknowledged": {s: prepared, answers: []bool{true}, next: prepared, last: execute},
		"a prepared statement is refused":      {s: prepared, answers: []bool{false}, next: prepared, last: execute, want: []statement.Verb{statement.Reset, statement.Set, statement.Prepare}},
		"a prepared statement is not answered": {s: prepared, next: prepared, last: execute, want: []statement.Verb{statement.Reset, statement.Set, statement.Prepare}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connection := NewConnectionState()
			sync := func(s *Session, last statement.Statement, answers []bool) (got []statement.Verb) {
				commands, _ := connection.Sync(s, last, nil)
				for i, command := range commands {
					if i < len(answers) {
						connection.Acknowledge(command.Statement, answers[i])
					}
					got = append(got, command.Verb)
				}
				return got
			}
			sync(north, read, []bool{true})
			sync(test.s, test.last, test.answers)
			if got := sync(test.next, test.last, []bool{true, true, true}); !slices.Equal(got, test.want) {
				t.Errorf("got commands %v, want %v", got, test.want)
			}
			if got := sync(test.next, test.last, nil); len(got) > 0 {
				t.Errorf("got commands %v once all are acknowledged, want none", got)
			}
		})
	}
}
