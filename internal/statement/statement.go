package statement

import "redwingspread/internal/model"

// Verb is what a statement does.
type Verb uint8

// The verbs of statements.
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
	Reset  // clears the values and prepared names of a connection; never sent by callers
	Status // asks an instance for its state; never sent by callers
	Demote // makes a primary of a lower term a replica; never sent by callers
)

// Prepared is what a prepared name stands for.
type Prepared struct {
	Access model.Access
	Text   string
}

// Statement is one statement of a caller.
type Statement struct {
	Verb     Verb
	Text     string   // of a read or write, unchanged; of an execution, what follows the name
	Name     string   // of a value or a prepared statement
	Value    string   // of a set
	Prepared Prepared // of a preparation
}

// Request is a statement with the caller's id for it.
type Request struct {
	ID model.RequestID
	Statement
}

// Command is a statement on its way to an instance.
type Command struct {
	ID       model.RequestID // empty for a statement of the host's own
	MinPoint model.Point     // the log must hold this point; zero for any
	Term     model.Term      // of a demotion
	Statement
}

// State is where a connection stands between statements.
type State uint8

// The states of a connection.
const (
	Idle   State = iota
	Open         // in a transaction
	Failed       // in a transaction that can only be rolled back
)

// Response is the whole answer to one command.
type Response struct {
	Rows      [][]byte
	Signature []byte     // set when the statement succeeded
	Code      model.Code // set when it did not
	Text      string     // what the instance says beside the code
	WireCode  string     // the code as it was received, for callers
	State     State
	Point     model.Point // reached by the instance's log; zero when not told
}

// Succeeded reports whether the statement succeeded.
func (a *Response) Succeeded() bool { return a.Code == "" }

// InstanceStatus is what an instance tells of itself when asked for its status.
type InstanceStatus struct {
	Role        model.Role
	Term        model.Term
	Received    model.Point
	Held        model.Term
	Lag         model.Milliseconds
	Busy        model.Slots
	Connections model.Connections
}
