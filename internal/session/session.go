package session

import (
	"strings"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// Limits of the state of one session, so that no caller fills the host's memory.
const (
	maxValues    = 256      // session variables
	maxPrepared  = 1024     // prepared statements
	maxTextBytes = 16 << 10 // bytes of a name together with its value or statement text

	entryOverhead = 96 // bytes of a value or a prepared statement beside its texts
)

// Action is how the host handles a request.
type Action uint8

// The actions.
const (
	AnswerLocally       Action = iota // answer from the session state, without an instance
	RunAutocommit                     // run on an instance, outside a transaction
	RunInTransaction                  // run in the session's open transaction
	CommitTransaction                 // commit the session's transaction
	RollBackTransaction               // roll back the session's transaction
	RefuseRequest                     // refuse the request and change nothing
)

// Session is the state of one caller's session.
type Session struct {
	Transaction statement.State               // state of the transaction
	ReadOnly    bool                          // the open transaction is read-only
	Wrote       bool                          // a write was sent in the open transaction
	LastCommit  model.Point                   // newest log position of an acknowledged commit of the session
	Values      map[string]string             // session variables by name
	Prepared    map[string]statement.Prepared // prepared statements by name
	Room        budget.Account                // of the memory that values and prepared statements take

	size model.Bytes // of values and prepared statements
}

// NewSession returns the state of a new session.
func NewSession() *Session {
	return &Session{Values: make(map[string]string), Prepared: make(map[string]statement.Prepared)}
}

// Decide returns the action for a statement. With AnswerLocally it has already applied the statement to the session.
func (s *Session) Decide(stmt statement.Statement) (Action, *model.Refusal) {
	if s.Transaction == statement.Failed && stmt.Verb != statement.Rollback && stmt.Verb != statement.Commit {
		return RefuseRequest, model.Refuse(model.CodeInvalid, "the transaction has failed and can only be rolled back")
	}
	switch stmt.Verb {
	case statement.Begin, statement.BeginRead:
		return s.beginTransaction(stmt.Verb)
	case statement.Commit:
		return s.commitTransaction()
	case statement.Rollback:
		if s.Transaction == statement.Idle {
			return RefuseRequest, model.Refuse(model.CodeInvalid, "no transaction is open")
		}
		return RollBackTransaction, nil
	case statement.Set:
		return s.setValue(stmt)
	case statement.Prepare:
		return s.prepareStatement(stmt)
	case statement.Forget:
		return s.forgetStatement(stmt)
	case statement.Execute:
		if _, known := s.Prepared[stmt.Name]; !known {
			return RefuseRequest, model.Refuse(model.CodeNoStatement, "no prepared statement has this name")
		}
	}
	if s.Transaction == statement.Open {
		return RunInTransaction, nil
	}
	return RunAutocommit, nil
}

// beginTransaction opens a transaction in the session; it begins on an instance with its first statement.
func (s *Session) beginTransaction(verb statement.Verb) (Action, *model.Refusal) {
	if s.Transaction != statement.Idle {
		return RefuseRequest, model.Refuse(model.CodeInvalid, "a transaction is open")
	}
	s.Transaction = statement.Open
	s.ReadOnly = verb == statement.BeginRead
	s.Wrote = false
	return AnswerLocally, nil
}

// commitTransaction returns the action for a COMMIT; a failed transaction is rolled back instead.
func (s *Session) commitTransaction() (Action, *model.Refusal) {
	switch s.Transaction {
	case statement.Idle:
		return RefuseRequest, model.Refuse(model.CodeInvalid, "no transaction is open")
	case statement.Failed:
		return RollBackTransaction, model.Refuse(model.CodeTransactionEnded, "the transaction had failed and was rolled back")
	}
	return CommitTransaction, nil
}

// setValue stores a session variable.
func (s *Session) setValue(stmt statement.Statement) (Action, *model.Refusal) {
	if _, known := s.Values[stmt.Name]; !known && len(s.Values) >= maxValues {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a session holds at most %d values", maxValues)
	}
	if len(stmt.Name)+len(stmt.Value) > maxTextBytes {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a value holds at most %d bytes", maxTextBytes)
	}
	size := s.size + entrySize(stmt.Name, stmt.Value)
	if held, known := s.Values[stmt.Name]; known {
		size -= entrySize(stmt.Name, held)
	}
	if refusal := s.Room.Resize(size); refusal != nil {
		return RefuseRequest, refusal
	}
	s.size = size
	s.Values[strings.Clone(stmt.Name)] = strings.Clone(stmt.Value) // the statement's texts keep the whole message in memory
	return AnswerLocally, nil
}

// Replace replaces all values and prepared statements, or refuses if there is no memory for them.
func (s *Session) Replace(values map[string]string, prepared map[string]statement.Prepared) *model.Refusal {
	size := model.Bytes(0)
	for name, value := range values {
		size += entrySize(name, value)
	}
	for name, held := range prepared {
		size += entrySize(name, held.Text)
	}
	if refusal := s.Room.Resize(size); refusal != nil {
		return refusal
	}
	s.size, s.Values, s.Prepared = size, values, prepared
	return nil
}

// prepareStatement stores a prepared statement.
func (s *Session) prepareStatement(stmt statement.Statement) (Action, *model.Refusal) {
	if _, known := s.Prepared[stmt.Name]; !known && len(s.Prepared) >= maxPrepared {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a session holds at most %d prepared statements", maxPrepared)
	}
	if len(stmt.Name)+len(stmt.Prepared.Text) > maxTextBytes {
		return RefuseRequest, model.Refuse(model.CodeTooLarge, "a prepared statement holds at most %d bytes", maxTextBytes)
	}
	size := s.size + entrySize(stmt.Name, stmt.Prepared.Text)
	if held, known := s.Prepared[stmt.Name]; known {
		size -= entrySize(stmt.Name, held.Text)
	}
	if refusal := s.Room.Resize(size); refusal != nil {
		return RefuseRequest, refusal
	}
	s.size = size
	s.Prepared[strings.Clone(stmt.Name)] = statement.Prepared{Access: stmt.Prepared.Access, Text: strings.Clone(stmt.Prepared.Text)}
	return AnswerLocally, nil
}

// forgetStatement removes a prepared statement and gives its memory back.
func (s *Session) forgetStatement(stmt statement.Statement) (Action, *model.Refusal) {
	if held, known := s.Prepared[stmt.Name]; known {
		delete(s.Prepared, stmt.Name)
		s.size -= entrySize(stmt.Name, held.Text)
		_ = s.Room.Resize(s.size) // a smaller size is not refused
	}
	return AnswerLocally, nil
}

// entrySize returns the memory of a value or a prepared statement.
func entrySize(name, text string) model.Bytes {
	return model.Bytes(len(name) + len(text) + entryOverhead)
}

// Access returns whether a statement reads or writes.
func (s *Session) Access(stmt statement.Statement) model.Access {
	if stmt.Verb == statement.Execute {
		return s.Prepared[stmt.Name].Access
	}
	if stmt.Verb == statement.Write {
		return model.Write
	}
	return model.Read
}

// RecordCommit raises LastCommit to the position of an acknowledged commit.
func (s *Session) RecordCommit(point model.Point) {
	if point.Compare(s.LastCommit) > 0 {
		s.LastCommit = point
	}
}

// EndTransaction resets the transaction state to idle.
func (s *Session) EndTransaction() {
	s.Transaction = statement.Idle
	s.ReadOnly = false
	s.Wrote = false
}

// FailTransaction marks the open transaction as failed; it can only be rolled back.
func (s *Session) FailTransaction() {
	if s.Transaction == statement.Open {
		s.Transaction = statement.Failed
	}
}
