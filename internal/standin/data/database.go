package data

import (
	"strconv"

	"redwingspread/internal/model"
)

// Outcome is what one statement came to.
type Outcome struct {
	Done   bool   // false when it failed without a change
	Reason string // why it failed
	Rows   []model.Row
}

// Database holds the rows of one database; it is used by one goroutine at a time.
type Database struct {
	undoLog       undoLog
	sections      table[sectionID, section]
	registrations table[registrationID, registration]
	lamps         table[lampID, lamp]
}

// operation is one statement that a database knows.
type operation struct {
	access   model.Access
	required []string
	run      func(*Database, arguments) Outcome
}

// arguments are the arguments of one statement by name.
type arguments map[string]string

// operations holds every operation by name.
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

// Check refuses a statement that the database does not know or whose arguments are wrong.
func Check(statement model.Statement) error {
	known, found := operations[statement.Operation]
	if !found {
		return model.Refuse(model.CodeUnknownOperation, "unknown operation %q", statement.Operation)
	}
	if known.access != statement.Access {
		return model.Refuse(model.CodeInvalid, "operation %q is a %s", statement.Operation, known.access)
	}
	for _, name := range known.required {
		if statement.Arguments[name] == "" {
			return model.Refuse(model.CodeInvalid, "operation %q needs the argument %q", statement.Operation, name)
		}
	}
	return nil
}

// Run runs a statement that passed Check; its change lasts unless it is rolled back before Keep.
func (d *Database) Run(statement model.Statement) Outcome {
	known, found := operations[statement.Operation]
	if !found {
		return fail("unknown operation")
	}
	return known.run(d, statement.Arguments)
}

// Commit makes all changes final.
func (d *Database) Commit() {
	d.undoLog.reset()
}

// Rollback undoes the changes since the last Keep.
func (d *Database) Rollback() {
	d.undoLog.rollback()
}

// report lists every section and the number of lamps by branch.
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

// succeed returns the outcome of a statement that gives one row.
func succeed(row model.Row) Outcome {
	return Outcome{Done: true, Rows: []model.Row{row}}
}

// fail returns the outcome of a statement that failed without a change.
func fail(reason string) Outcome {
	return Outcome{Reason: reason}
}
