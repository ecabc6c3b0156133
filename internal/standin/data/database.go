package data

import (
	"strconv"

	"redwingspread/internal/model"
)

// Outcome is the outcome of one statement.
type Outcome struct {
	Done   bool   // false if the statement failed and changed nothing
	Reason string // reason for the failure
	Rows   []model.Row
}

// Database holds the rows of one database. It is not safe for concurrent use.
type Database struct {
	undoLog       undoLog
	sections      table[sectionID, section]
	registrations table[registrationID, registration]
	lamps         table[lampID, lamp]
}

// operation is an operation that a statement can name.
type operation struct {
	access   model.Access
	required []string // names of the required arguments
	run      func(*Database, arguments) Outcome
}

// arguments holds the arguments of a statement by name.
type arguments map[string]string

// operations holds all operations by name.
var operations = map[string]operation{
	"offer":     {model.Write, []string{"section", "capacity"}, (*Database).offer},
	"register":  {model.Write, []string{"section", "resident"}, (*Database).register},
	"pay":       {model.Write, []string{"section", "resident", "cents"}, (*Database).pay},
	"withdraw":  {model.Write, []string{"section", "resident"}, (*Database).withdraw},
	"seat":      {model.Read, []string{"section", "resident"}, (*Database).seat},
	"roster":    {model.Read, []string{"section"}, (*Database).roster},
	"waitlist":  {model.Read, []string{"section"}, (*Database).waitlist},
	"stock":     {model.Write, []string{"lamp", "branch"}, (*Database).stock},
	"checkout":  {model.Write, []string{"lamp", "borrower"}, (*Database).checkout},
	"return":    {model.Write, []string{"lamp", "branch"}, (*Database).returnLamp},
	"reserve":   {model.Write, []string{"lamp", "borrower"}, (*Database).reserve},
	"lamp":      {model.Read, []string{"lamp"}, (*Database).lamp},
	"catalogue": {model.Read, []string{"branch"}, (*Database).catalogue},
	"counter":   {model.Read, []string{"borrower"}, (*Database).counter},
	"report":    {model.Read, nil, (*Database).report},
}

// New returns an empty database.
func New() *Database {
	d := &Database{}
	d.sections = newTable[sectionID, section](&d.undoLog)
	d.registrations = newTable[registrationID, registration](&d.undoLog)
	d.lamps = newTable[lampID, lamp](&d.undoLog)
	return d
}

// Check refuses a statement whose operation is unknown, whose access does not match the operation, or that lacks an argument.
func Check(statement model.Statement) error {
	op, found := operations[statement.Operation]
	if !found {
		return model.Refuse(model.CodeUnknownOperation, "unknown operation %q", statement.Operation)
	}
	if op.access != statement.Access {
		return model.Refuse(model.CodeInvalid, "operation %q is a %s", statement.Operation, op.access)
	}
	for _, name := range op.required {
		if statement.Arguments[name] == "" {
			return model.Refuse(model.CodeInvalid, "operation %q needs the argument %q", statement.Operation, name)
		}
	}
	return nil
}

// Run runs a statement that has passed Check. Rollback undoes its changes until Commit makes them final.
func (d *Database) Run(statement model.Statement) Outcome {
	op, found := operations[statement.Operation]
	if !found {
		return fail("unknown operation")
	}
	return op.run(d, statement.Arguments)
}

// Commit makes all changes since the last Commit final.
func (d *Database) Commit() {
	d.undoLog.reset()
}

// Rollback undoes all changes since the last Commit.
func (d *Database) Rollback() {
	d.undoLog.rollback()
}

// report lists all sections, and the number of lamps and loans of each branch.
func (d *Database) report(arguments) Outcome {
	outcome := Outcome{Done: true}
	for _, id := range d.sections.keys() {
		s, _ := d.sections.get(id)
		outcome.Rows = append(outcome.Rows, model.Row{
			"section":  string(id),
			"capacity": strconv.Itoa(s.capacity),
			"seats":    strconv.Itoa(len(s.seated)),
			"waiting":  strconv.Itoa(len(s.waiting)),
		})
	}
	outcome.Rows = append(outcome.Rows, d.lampReport()...)
	return outcome
}

// succeed returns the outcome of a successful statement with one row.
func succeed(row model.Row) Outcome {
	return Outcome{Done: true, Rows: []model.Row{row}}
}

// fail returns the outcome of a statement that failed and changed nothing.
func fail(reason string) Outcome {
	return Outcome{Reason: reason}
}
