package data

import (
	"slices"
	"strconv"

	"redwingspread/internal/model"
)

// sectionID names one section of a class.
type sectionID string

// residentID names one resident.
type residentID string

// section is one section of a class with its seats in the order of registration.
type section struct {
	capacity int
	seated   []residentID
	waiting  []residentID
}

// registrationID names a resident's place in a section.
type registrationID string

// registration is a resident's place in a section and what was paid for it.
type registration struct {
	status   registrationStatus
	payments int
	cents    int
}

// registrationStatus tells where a resident stands.
type registrationStatus string

// The states of a seat.
const (
	statusRegistered registrationStatus = "registered"
	statusWaiting    registrationStatus = "waiting"
	statusWithdrawn  registrationStatus = "withdrawn"
)

// registrationOf returns the name of the seat that the arguments give.
func registrationOf(a arguments) registrationID {
	return registrationID(a["section"] + "/" + a["resident"])
}

// row returns the seat as a row.
func (s registration) row() model.Row {
	return model.Row{
		"status":   string(s.status),
		"payments": strconv.Itoa(s.payments),
		"cents":    strconv.Itoa(s.cents),
	}
}

// offer opens a section or changes its capacity.
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

// register gives a resident a seat, or a place on the waitlist when the section is full.
func (d *Database) register(a arguments) Outcome {
	s, found := d.sections.get(sectionID(a["section"]))
	if !found {
		return fail("unknown section")
	}
	place, _ := d.registrations.get(registrationOf(a))
	if place.status == statusRegistered || place.status == statusWaiting {
		return fail("already " + string(place.status))
	}
	resident := residentID(a["resident"])
	place.status = statusWaiting
	if len(s.seated) < s.capacity {
		place.status = statusRegistered
		s.seated = append(slices.Clone(s.seated), resident)
	} else {
		s.waiting = append(slices.Clone(s.waiting), resident)
	}
	d.sections.put(sectionID(a["section"]), s)
	d.registrations.put(registrationOf(a), place)
	return succeed(place.row())
}

// pay records one payment for a seat.
func (d *Database) pay(a arguments) Outcome {
	cents, err := strconv.Atoi(a["cents"])
	if err != nil || cents <= 0 {
		return fail("cents is not an amount")
	}
	place, found := d.registrations.get(registrationOf(a))
	if !found || place.status != statusRegistered {
		return fail("no seat")
	}
	place.payments++
	place.cents += cents
	d.registrations.put(registrationOf(a), place)
	return succeed(place.row())
}

// withdraw frees a resident's seat for the first one who waits.
func (d *Database) withdraw(a arguments) Outcome {
	place, found := d.registrations.get(registrationOf(a))
	if !found || place.status == statusWithdrawn {
		return fail("no seat")
	}
	id := sectionID(a["section"])
	s, _ := d.sections.get(id)
	resident := residentID(a["resident"])
	s.seated = without(s.seated, resident)
	s.waiting = without(s.waiting, resident)
	place.status = statusWithdrawn
	d.registrations.put(registrationOf(a), place)
	d.sections.put(id, d.seatNext(id, s))
	return succeed(place.row())
}

// seatNext seats the first one who waits when there is room.
func (d *Database) seatNext(id sectionID, s section) section {
	if len(s.waiting) == 0 || len(s.seated) >= s.capacity {
		return s
	}
	next := s.waiting[0]
	s.waiting = slices.Clone(s.waiting[1:])
	s.seated = append(slices.Clone(s.seated), next)
	key := registrationID(string(id) + "/" + string(next))
	place, _ := d.registrations.get(key)
	place.status = statusRegistered
	d.registrations.put(key, place)
	return s
}

// without returns the residents but for one.
func without(residents []residentID, one residentID) []residentID {
	return slices.DeleteFunc(slices.Clone(residents), func(r residentID) bool { return r == one })
}

// seat shows a resident's place in a section.
func (d *Database) seat(a arguments) Outcome {
	place, found := d.registrations.get(registrationOf(a))
	if !found {
		return Outcome{Done: true}
	}
	return succeed(place.row())
}

// roster lists those who have a seat.
func (d *Database) roster(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return listColumn("resident", s.seated)
}

// waitlist lists those who wait, first come first.
func (d *Database) waitlist(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return listColumn("resident", s.waiting)
}

// listColumn returns one row for each name.
func listColumn[T ~string](column string, names []T) Outcome {
	outcome := Outcome{Done: true}
	for _, name := range names {
		outcome.Rows = append(outcome.Rows, model.Row{column: string(name)})
	}
	return outcome
}
