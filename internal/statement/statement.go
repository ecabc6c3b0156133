package statement

import (
	"redwingspread/internal/budget"
	"redwingspread/internal/model"
)

// Verb is the type of a statement.
type Verb uint8

// Verbs of statements.
const (
	None Verb = iota
	Begin
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Forget
	Reset  // clears the session values and prepared statements of a connection; never sent by callers
	Status // asks an instance for its status; never sent by callers
	Demote // makes a primary of a lower term a replica; never sent by callers
)

// Prepared is the definition of a prepared statement.
type Prepared struct {
	Access model.Access
	Text   string
}

// Statement is one statement of a caller.
type Statement struct {
	Verb     Verb
	Text     string   // of a read or write, unmodified; of an execution, the text after the name
	Name     string   // of a session value or a prepared statement
	Value    string   // of a session value
	Prepared Prepared // of a prepare
}

// Request is a statement with the id that the caller gave it.
type Request struct {
	ID model.RequestID
	Statement
}

// Command is a statement sent to an instance.
type Command struct {
	ID       model.RequestID // empty for the host's own statements
	MinPoint model.Point     // that the instance's log must contain; zero for any
	Term     model.Term      // new term of a demotion
	Statement
}

// State is the transaction state of a connection between statements.
type State uint8

// States of a connection.
const (
	Idle   State = iota
	Open         // in a transaction
	Failed       // in a transaction that can only be rolled back
)

// Response is the complete response to one command.
type Response struct {
	Rows      [][]byte
	Signature []byte     // set if the statement succeeded
	Code      model.Code // set if it did not succeed
	Text      string     // message that comes with the code
	WireCode  string     // the code as received, for relaying to the caller
	State     State
	Point     model.Point // reached by the instance's log; zero if not reported

	Room *budget.Account // of the memory that the rows take; nil if they are small
}

// Size returns the bytes of the rows.
func (r *Response) Size() (size int) {
	for _, row := range r.Rows {
		size += len(row)
	}
	return size
}

// Release drops the rows and gives their memory back, once the response has been sent to the caller or is not needed.
func (r *Response) Release() {
	r.Rows = nil
	if r.Room != nil {
		r.Room.Close()
	}
}

// Succeeded reports whether the statement succeeded.
func (r *Response) Succeeded() bool { return r.Code == "" }

// InstanceStatus is what an instance reports about itself.
type InstanceStatus struct {
	Role        model.Role
	Term        model.Term
	Received    model.Point        // newest log point received
	HeldTerm    model.Term         // term that it holds
	Lag         model.Milliseconds // replication lag
	Busy        model.Slots        // statements in progress
	Connections model.Connections  // open connections
}
