package session

import (
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// The most that one session may set, so that no caller fills the host's memory.
const (
	valueLimit = 256
	nameLimit  = 1024
	textLimit  = 16 << 10 // bytes of a name, value or shape
)

// Course tells how a request is carried out.
type Course uint8

// The courses of requests.
const (
	Settled  Course = iota // answered from the account alone
	Alone                  // runs by itself on an instance
	Joined                 // runs in the session's transaction
	Ending                 // commits the session's transaction
	Undoing                // rolls the session's transaction back
	Refusing               // is answered with a refusal and changes nothing
)

// Account is what a caller's session was told: values, prepared names, transaction and newest commit.
type Account struct {
	State    statement.State
	ReadOnly bool        // the open transaction only reads
	Wrote    bool        // the open transaction has sent a write
	Newest   model.Point // reached by the session's newest acknowledged commit
	Values   map[string]string
	Names    map[string]statement.Prepared
}

// NewAccount returns the account of a session that has just begun.
func NewAccount() *Account {
	return &Account{Values: make(map[string]string), Names: make(map[string]statement.Prepared)}
}

// Take decides on a request's course and notes what an answer from the account alone acknowledges.
func (a *Account) Take(s statement.Statement) (Course, *model.Refusal) {
	if a.State == statement.Failed && s.Verb != statement.Rollback && s.Verb != statement.Commit {
		return Refusing, model.Refuse(model.CodeInvalid, "the transaction has failed and can only be rolled back")
	}
	switch s.Verb {
	case statement.Begin, statement.BeginRead:
		return a.begin(s.Verb)
	case statement.Commit:
		return a.commit()
	case statement.Rollback:
		if a.State == statement.Idle {
			return Refusing, model.Refuse(model.CodeInvalid, "no transaction is open")
		}
		return Undoing, nil
	case statement.Set:
		return a.set(s)
	case statement.Prepare:
		return a.prepare(s)
	case statement.Forget:
		delete(a.Names, s.Name)
		return Settled, nil
	case statement.Execute:
		if _, known := a.Names[s.Name]; !known {
			return Refusing, model.Refuse(model.CodeNoStatement, "no prepared statement has this name")
		}
	}
	if a.State == statement.Open {
		return Joined, nil
	}
	return Alone, nil
}

// begin opens a transaction, which reaches an instance with its first statement.
func (a *Account) begin(verb statement.Verb) (Course, *model.Refusal) {
	if a.State != statement.Idle {
		return Refusing, model.Refuse(model.CodeInvalid, "a transaction is open")
	}
	a.State = statement.Open
	a.ReadOnly = verb == statement.BeginRead
	a.Wrote = false
	return Settled, nil
}

// commit decides on a commit.
func (a *Account) commit() (Course, *model.Refusal) {
	switch a.State {
	case statement.Idle:
		return Refusing, model.Refuse(model.CodeInvalid, "no transaction is open")
	case statement.Failed:
		return Undoing, model.Refuse(model.CodeTransactionEnded, "the transaction had failed and was rolled back")
	}
	return Ending, nil
}

// set notes a value.
func (a *Account) set(s statement.Statement) (Course, *model.Refusal) {
	if _, known := a.Values[s.Name]; !known && len(a.Values) >= valueLimit {
		return Refusing, model.Refuse(model.CodeTooLarge, "a session holds at most %d values", valueLimit)
	}
	if len(s.Name)+len(s.Value) > textLimit {
		return Refusing, model.Refuse(model.CodeTooLarge, "a value holds at most %d bytes", textLimit)
	}
	a.Values[s.Name] = s.Value
	return Settled, nil
}

// prepare notes a prepared name.
func (a *Account) prepare(s statement.Statement) (Course, *model.Refusal) {
	if _, known := a.Names[s.Name]; !known && len(a.Names) >= nameLimit {
		return Refusing, model.Refuse(model.CodeTooLarge, "a session holds at most %d prepared statements", nameLimit)
	}
	if len(s.Name)+len(s.Prepared.Text) > textLimit {
		return Refusing, model.Refuse(model.CodeTooLarge, "a prepared statement holds at most %d bytes", textLimit)
	}
	a.Names[s.Name] = s.Prepared
	return Settled, nil
}

// Access tells whether a statement reads or writes.
func (a *Account) Access(s statement.Statement) model.Access {
	if s.Verb == statement.Execute {
		return a.Names[s.Name].Access
	}
	if s.Verb == statement.Write {
		return model.Write
	}
	return model.Read
}

// Committed notes the position of an acknowledged commit.
func (a *Account) Committed(point model.Point) {
	if point.Compare(a.Newest) > 0 {
		a.Newest = point
	}
}

// Close ends the open transaction.
func (a *Account) Close() {
	a.State = statement.Idle
	a.ReadOnly = false
	a.Wrote = false
}

// Fail marks the open transaction as one that can only be rolled back.
func (a *Account) Fail() {
	if a.State == statement.Open {
		a.State = statement.Failed
	}
}
