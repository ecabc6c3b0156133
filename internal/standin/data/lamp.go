package data

import (
	"strconv"

	"redwingspread/internal/model"
)

// lampID identifies a lamp.
type lampID string

// borrowerID identifies a borrower.
type borrowerID string

// branchID identifies a branch of the library.
type branchID string

// lamp is a lamp of the library. It is on loan if it has a borrower, and at its branch otherwise.
type lamp struct {
	branch     branchID
	borrower   borrowerID
	reservedBy borrowerID // empty if the lamp is not reserved
	loans      int        // number of loans so far
}

// row returns the lamp as a row of an outcome.
func (l lamp) row(id lampID) model.Row {
	return model.Row{
		"lamp":     string(id),
		"branch":   string(l.branch),
		"borrower": string(l.borrower),
		"reserved": string(l.reservedBy),
		"loans":    strconv.Itoa(l.loans),
	}
}

// putLamp stores a lamp and returns it as an outcome.
func (d *Database) putLamp(id lampID, l lamp) Outcome {
	d.lamps.put(id, l)
	return succeed(l.row(id))
}

// stock adds a lamp to a branch.
func (d *Database) stock(a arguments) Outcome {
	id := lampID(a["lamp"])
	if _, found := d.lamps.get(id); found {
		return fail("lamp exists")
	}
	return d.putLamp(id, lamp{branch: branchID(a["branch"])})
}

// checkout lends a lamp unless it is on loan or reserved by another borrower.
func (d *Database) checkout(a arguments) Outcome {
	id, borrower := lampID(a["lamp"]), borrowerID(a["borrower"])
	l, found := d.lamps.get(id)
	if !found {
		return fail("unknown lamp")
	}
	if l.borrower != "" {
		return fail("on loan")
	}
	if l.reservedBy != "" && l.reservedBy != borrower {
		return fail("reserved")
	}
	l.borrower = borrower
	l.reservedBy = ""
	l.loans++
	return d.putLamp(id, l)
}

// returnLamp returns a lamp to any branch, where it stays.
func (d *Database) returnLamp(a arguments) Outcome {
	id := lampID(a["lamp"])
	l, found := d.lamps.get(id)
	if !found {
		return fail("unknown lamp")
	}
	if l.borrower == "" {
		return fail("not on loan")
	}
	l.borrower = ""
	l.branch = branchID(a["branch"])
	return d.putLamp(id, l)
}

// reserve reserves a lamp for a borrower.
func (d *Database) reserve(a arguments) Outcome {
	id := lampID(a["lamp"])
	l, found := d.lamps.get(id)
	if !found {
		return fail("unknown lamp")
	}
	if l.reservedBy != "" {
		return fail("reserved")
	}
	l.reservedBy = borrowerID(a["borrower"])
	return d.putLamp(id, l)
}

// lamp returns a lamp, or no row if it is unknown.
func (d *Database) lamp(a arguments) Outcome {
	id := lampID(a["lamp"])
	l, found := d.lamps.get(id)
	if !found {
		return Outcome{Done: true}
	}
	return succeed(l.row(id))
}

// catalogue lists the lamps that are available at a branch.
func (d *Database) catalogue(a arguments) Outcome {
	return d.listLamps(func(l lamp) bool {
		return l.branch == branchID(a["branch"]) && l.borrower == "" && l.reservedBy == ""
	})
}

// counter lists a borrower's loans and reservations.
func (d *Database) counter(a arguments) Outcome {
	borrower := borrowerID(a["borrower"])
	return d.listLamps(func(l lamp) bool {
		return l.borrower == borrower || l.reservedBy == borrower
	})
}

// listLamps lists the lamps for which the predicate holds, ordered by id.
func (d *Database) listLamps(matches func(lamp) bool) Outcome {
	outcome := Outcome{Done: true}
	for _, id := range d.lamps.keys() {
		if l, _ := d.lamps.get(id); matches(l) {
			outcome.Rows = append(outcome.Rows, l.row(id))
		}
	}
	return outcome
}

// lampReport counts the lamps and loans of each branch.
func (d *Database) lampReport() []model.Row {
	type count struct{ lamps, lent int }
	counts := newTable[branchID, count](&undoLog{})
	for _, l := range d.lamps.rows {
		c, _ := counts.get(l.branch)
		c.lamps++
		if l.borrower != "" {
			c.lent++
		}
		counts.put(l.branch, c)
	}
	var rows []model.Row
	for _, branch := range counts.keys() {
		c, _ := counts.get(branch)
		rows = append(rows, model.Row{
			"branch": string(branch),
			"lamps":  strconv.Itoa(c.lamps),
			"lent":   strconv.Itoa(c.lent),
		})
	}
	return rows
}
