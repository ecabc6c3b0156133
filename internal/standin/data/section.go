package data

import (
	"slices"
	"strconv"

	"redwingspread/internal/model"
)

// sectionID identifies a section of a class.
type sectionID string

// residentID identifies a resident.
type residentID string

// section is a section of a class. Its residents are listed in the order in which they got a seat or joined the waitlist.
type section struct {
	capacity int
	seated   []residentID
	waiting  []residentID
}

// registrationID identifies a resident's registration for a section.
type registrationID string

// registration is a resident's registration for a section and the payments for it.
type registration struct {
	status   registrationStatus
	payments int // number of payments
	cents    int // sum of the payments
}

// registrationStatus is the status of a registration.
type registrationStatus string

// Statuses of a registration.
const (
	statusRegistered registrationStatus = "registered"
	statusWaiting    registrationStatus = "waiting"
	statusWithdrawn  registrationStatus = "withdrawn"
)

// registrationIDOf returns the id of the registration that the arguments name.
func registrationIDOf(a arguments) registrationID {
	return registrationID(a["section"] + "/" + a["resident"])
}

// row returns the registration as a row of an outcome.
func (r registration) row() model.Row {
	return model.Row{
		"status":   string(r.status),
		"payments": strconv.Itoa(r.payments),
		"cents":    strconv.Itoa(r.cents),
	}
}

// offer creates a section or changes its capacity.
func (d *Database) offer(a arguments) Outcome {
	capacity, err := strconv.Atoi(a["capacity"])
	if err != nil || capacity < 0 {
		return fail("capacity is not a number")
	}
	s, _ := d.sections.get(sectionID(a["section"]))
	s.capacity = capacity
	d.sections.put(sectionID(a["section"]), s)
	return succeed(model.Row{"section": a["section"], "capacity": a["capacity"]})
}

// register gives a resident a seat, or adds the resident to the waitlist if the section is full.
func (d *Database) register(a arguments) Outcome {
	s, found := d.sections.get(sectionID(a["section"]))
	if !found {
		return fail("unknown section")
	}
	reg, _ := d.registrations.get(registrationIDOf(a))
	if reg.status == statusRegistered || reg.status == statusWaiting {
		return fail("already " + string(reg.status))
	}
	resident := residentID(a["resident"])
	reg.status = statusWaiting
	if len(s.seated) < s.capacity {
		reg.status = statusRegistered
		s.seated = append(slices.Clone(s.seated), resident)
	} else {
		s.waiting = append(slices.Clone(s.waiting), resident)
	}
	d.sections.put(sectionID(a["section"]), s)
	d.registrations.put(registrationIDOf(a), reg)
	return succeed(reg.row())
}

// pay records a payment for a seat.
func (d *Database) pay(a arguments) Outcome {
	cents, err := strconv.Atoi(a["cents"])
	if err != nil || cents <= 0 {
		return fail("cents is not an amount")
	}
	reg, found := d.registrations.get(registrationIDOf(a))
	if !found || reg.status != statusRegistered {
		return fail("no seat")
	}
	reg.payments++
	reg.cents += cents
	d.registrations.put(registrationIDOf(a), reg)
	return succeed(reg.row())
}

// withdraw ends a resident's registration. A freed seat goes to the first resident on the waitlist.
func (d *Database) withdraw(a arguments) Outcome {
	reg, found := d.registrations.get(registrationIDOf(a))
	if !found || reg.status == statusWithdrawn {
		return fail("no seat")
	}
	id := sectionID(a["section"])
	s, _ := d.sections.get(id)
	resident := residentID(a["resident"])
	s.seated = without(s.seated, resident)
	s.waiting = without(s.waiting, resident)
	reg.status = statusWithdrawn
	d.registrations.put(registrationIDOf(a), reg)
	d.sections.put(id, d.seatNext(id, s))
	return succeed(reg.row())
}

// seatNext gives a free seat, if there is one, to the first resident on the waitlist and returns the changed section.
func (d *Database) seatNext(id sectionID, s section) section {
	if len(s.waiting) == 0 || len(s.seated) >= s.capacity {
		return s
	}
	next := s.waiting[0]
	s.waiting = slices.Clone(s.waiting[1:])
	s.seated = append(slices.Clone(s.seated), next)
	key := registrationID(string(id) + "/" + string(next))
	reg, _ := d.registrations.get(key)
	reg.status = statusRegistered
	d.registrations.put(key, reg)
	return s
}

// without returns a copy of the list without one resident.
func without(residents []residentID, one residentID) []residentID {
	return slices.DeleteFunc(slices.Clone(residents), func(r residentID) bool { return r == one })
}

// seat returns a resident's registration for a section, or no row if there is none.
func (d *Database) seat(a arguments) Outcome {
	reg, found := d.registrations.get(registrationIDOf(a))
	if !found {
		return Outcome{Done: true}
	}
	return succeed(reg.row())
}

// roster lists the residents who have a seat.
func (d *Database) roster(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return listColumn("resident", s.seated)
}

// waitlist lists the waiting residents in the order in which they joined.
func (d *Database) waitlist(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return listColumn("resident", s.waiting)
}

// listColumn returns one row with one column for each name.
func listColumn[T ~string](column string, names []T) Outcome {
	outcome := Outcome{Done: true}
	for _, name := range names {
		outcome.Rows = append(outcome.Rows, model.Row{column: string(name)})
	}
	return outcome
}
