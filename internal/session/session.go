package session

import (
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// The most that one session may set, so that no caller fills the host's memory.
const (
	maxValues    = 256
	maxPrepared  = 1024
	maxTextBytes = 16 << 10 // bytes of a name, value or shape
)

// Action tells how a request is carried out.
type Action uint8

// The courses of requests.
const (
	AnswerLocally       Action = iota // answered from the account alone
	RunAlone                          // runs by itself on an instance
	RunInTransaction                  // runs in the session's transaction
	CommitTransaction                 // commits the session's transaction
	RollBackTransaction               // rolls the session's transaction back
	RefuseRequest                     // is answered with a refusal and changes nothing
)

// Session is what a caller's session was told: values, prepared names, transaction and newest commit.
type Session struct {
	Transaction statement.State
	ReadOnly    bool        // the open transaction only reads
	Wrote       bool        // the open transaction has sent a write
	LastCommit  model.Point // reached by the session's newest acknowledged commit
	Values      map[string]string
	Prepared    map[string]statement.Shape
}

// NewSession returns the account of a session that has just begun.
func NewSession() *Session {
	return &Session{Values: make(map[string]string), Prepared: make(map[string]statement.Shape)}
}

// Decide decides on a request's course and notes what an answer from the account alone acknowledges.
func (a *Session) Decide(s statement.Statement) (Action, *model.Refusal) {
	if a.Transaction == statement.Failed && s.Verb != statement.Rollback && s.Verb != statement.Commit {
		return RefuseRequest, model.Refuse(model.CodeInvalid, "the transaction has failed and can only be rolled back")
	}
	switch s.Verb {
	case statement.Begin, statement.BeginRead:
		return a.beginTransaction(s.Verb)
	case statement.Commit:
		return a.commitTransaction()
	case statement.Rollback:
		if a.Transaction == statement.Idle {
			return RefuseRequest, model.Refuse(model.CodeInvalid, "no transaction is open")
		}
		return RollBackTransaction, nil
	case statement.Set:
		return a.setValue(s)
	case statement.Prepare:
		return a.prepareStatement(s)
	case statement.Forget:
		delete(a.Prepared, s.Name)
		return AnswerLocally, nil
	case statement.Execute:
		if _, known := a.Prepared[s.Name]; !known {
			return RefuseRequest, model.Refuse(model.CodeNoStatement, "no prepared statement has this name")
		}
	}
	if a.Transaction == statement.Open {
		return RunInTransaction, nil
	}
	return RunAlone, nil
}

// beginTransaction opens a transaction, which reaches an instance with its first statement.
func (a *Session) beginTransaction(verb statement.Verb) (Action, *model.Refusal) {
	if a.Transaction != statement.Idle {
		return RefuseRequest, model.Refuse(model.CodeInvalid, "a transaction is open")
	}
	a.Transaction = statement.Open
	a.ReadOnly = verb == statement.BeginRead
	a.Wrote = false
	return AnswerLocally, nil
}

// commitTransaction decides on a commit.
func (a *Session) commitTransaction() (Action, *model.Refusal) {
	switch a.Transaction {
	case statement.Idle:
		return RefuseRequest, model.Refuse(model.CodeInvalid, "no transaction is open")
	case statement.Failed:
		return RollBackTransaction, model.Refuse(model.CodeTransactionEnded, "the transaction had failed and was rolled back")
	}
	return CommitTransaction, nil
}

// setValue notes a value.
func (a *Session) setValue(s statement.Statement) (Action, *model.Refusal) {
	if _, known := a.Values[s.Name]; !known && len(a.Values) >= maxValues {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a session holds at most %d values", maxValues)
	}
	if len(s.Name)+len(s.Value) > maxTextBytes {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a value holds at most %d bytes", maxTextBytes)
	}
	a.Values[s.Name] = s.Value
	return AnswerLocally, nil
}

// prepareStatement notes a prepared name.
func (a *Session) prepareStatement(s statement.Statement) (Action, *model.Refusal) {
	if _, known := a.Prepared[s.Name]; !known && len(a.Prepared) >= maxPrepared {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a session holds at most %d prepared statements", maxPrepared)
	}
	if len(s.Name)+len(s.Shape.Text) > maxTextBytes {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a prepared statement holds at most %d bytes", maxTextBytes)
	}
	a.Prepared[s.Name] = s.Shape
	return AnswerLocally, nil
}

// Access tells whether a statement reads or writes.
func (a *Session) Access(s statement.Statement) model.Access {
	if s.Verb == statement.Execute {
		return a.Prepared[s.Name].Access
	}
	if s.Verb == statement.Write {
		return model.Write
	}
	return model.Read
}

// RecordCommit notes the position of an acknowledged commit.
func (a *Session) RecordCommit(point model.Point) {
	if point.Compare(a.LastCommit) > 0 {
		a.LastCommit = point
	}
}

// EndTransaction ends the open transaction.
func (a *Session) EndTransaction() {
	a.Transaction = statement.Idle
	a.ReadOnly = false
	a.Wrote = false
}

// FailTransaction marks the open transaction as one that can only be rolled back.
func (a *Session) FailTransaction() {
	if a.Transaction == statement.Open {
		a.Transaction = statement.Failed
	}
}
