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

// seatID names a resident's place in a section.
type seatID string

// seat is a resident's place in a section and what was paid for it.
type seat struct {
	status   seatStatus
	payments int
	cents    int
}

// seatStatus tells where a resident stands.
type seatStatus string

// The states of a seat.
const (
	statusRegistered seatStatus = "registered"
	statusWaiting    seatStatus = "waiting"
	statusWithdrawn  seatStatus = "withdrawn"
)

// seatOf returns the name of the seat that the arguments give.
func seatOf(a arguments) seatID {
	return seatID(a["section"] + "/" + a["resident"])
}

// row returns the seat as a row.
func (s seat) row() model.Row {
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
	return done(model.Row{"section": a["section"], "capacity": a["capacity"]})
}

// register gives a resident a seat, or a place on the waitlist when the section is full.
func (d *Database) register(a arguments) Outcome {
	s, found := d.sections.get(sectionID(a["section"]))
	if !found {
		return fail("unknown section")
	}
	place, _ := d.seats.get(seatOf(a))
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
	d.seats.put(seatOf(a), place)
	return done(place.row())
}

// pay records one payment for a seat.
func (d *Database) pay(a arguments) Outcome {
	cents, err := strconv.Atoi(a["cents"])
	if err != nil || cents <= 0 {
		return fail("cents is not an amount")
	}
	place, found := d.seats.get(seatOf(a))
	if !found || place.status != statusRegistered {
		return fail("no seat")
	}
	place.payments++
	place.cents += cents
	d.seats.put(seatOf(a), place)
	return done(place.row())
}

// withdraw frees a resident's seat for the first one who waits.
func (d *Database) withdraw(a arguments) Outcome {
	place, found := d.seats.get(seatOf(a))
	if !found || place.status == statusWithdrawn {
		return fail("no seat")
	}
	id := sectionID(a["section"])
	s, _ := d.sections.get(id)
	resident := residentID(a["resident"])
	s.seated = without(s.seated, resident)
	s.waiting = without(s.waiting, resident)
	place.status = statusWithdrawn
	d.seats.put(seatOf(a), place)
	d.sections.put(id, d.moveUp(id, s))
	return done(place.row())
}

// moveUp seats the first one who waits when there is room.
func (d *Database) moveUp(id sectionID, s section) section {
	if len(s.waiting) == 0 || len(s.seated) >= s.capacity {
		return s
	}
	next := s.waiting[0]
	s.waiting = slices.Clone(s.waiting[1:])
	s.seated = append(slices.Clone(s.seated), next)
	key := seatID(string(id) + "/" + string(next))
	place, _ := d.seats.get(key)
	place.status = statusRegistered
	d.seats.put(key, place)
	return s
}

// without returns the residents but for one.
func without(residents []residentID, one residentID) []residentID {
	return slices.DeleteFunc(slices.Clone(residents), func(r residentID) bool { return r == one })
}

// seat shows a resident's place in a section.
func (d *Database) seat(a arguments) Outcome {
	place, found := d.seats.get(seatOf(a))
	if !found {
		return Outcome{Done: true}
	}
	return done(place.row())
}

// roster lists those who have a seat.
func (d *Database) roster(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return list("resident", s.seated)
}

// waitlist lists those who wait, first come first.
func (d *Database) waitlist(a arguments) Outcome {
	s, _ := d.sections.get(sectionID(a["section"]))
	return list("resident", s.waiting)
}

// list returns one row for each name.
func list[T ~string](column string, names []T) Outcome {
	outcome := Outcome{Done: true}
	for _, name := range names {
		outcome.Rows = append(outcome.Rows, model.Row{column: string(name)})
	}
	return outcome
}
