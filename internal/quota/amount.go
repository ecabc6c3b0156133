package quota

import (
	"time"

	"redwingspread/internal/model"
)

// Amount is a part of an instance's limits.
type Amount struct {
	Slots       model.Slots
	Connections model.Connections
}

// plus returns the sum.
func (a Amount) plus(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.Connections + b.Connections}
}

// minus returns the difference, never below zero.
func (a Amount) minus(b Amount) Amount {
	return Amount{max(a.Slots-b.Slots, 0), max(a.Connections-b.Connections, 0)}
}

// most returns the greater of each part.
func (a Amount) most(b Amount) Amount {
	return Amount{max(a.Slots, b.Slots), max(a.Connections, b.Connections)}
}

// least returns the smaller of each part.
func (a Amount) least(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Connections, b.Connections)}
}

// Holder is one run of a host.
type Holder struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Ask is a host's request for a permit, or to renew the one it has.
type Ask struct {
	Holder Holder
	Number model.Sequence // counts the holder's asks
	Using  Amount         // what the holder may still be using, its permit included
	Wanted Amount
}

// Grant is an owner's answer: the holder may use the amount for Lasts from the time it sent the ask.
type Grant struct {
	Ask    model.Sequence // number of the ask
	Term   model.Term
	Amount Amount
	Lasts  time.Duration
}
