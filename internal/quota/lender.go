package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Lender is the owner's side of one instance's permits; it is pure and used by one goroutine at a time.
//
// What it lent in a message that may have been lost counts until it has lapsed.
type Lender struct {
	// Term is the owner's term.
	Term model.Term
	// Limit is what the instance allows in all.
	Limit Amount
	// Reserve is the part that the owner keeps for its own queue.
	Reserve Amount
	// Lasts is how long a permit lasts.
	Lasts time.Duration
	// Margin is added to the time after which a permit counts as lapsed, for clocks that run apart.
	Margin time.Duration
	// Split decides each holder's part.
	Split Split
	// Start is when the owner took over; until all permits of its predecessor have lapsed it only renews what is held.
	Start time.Time

	accounts map[Holder]*account
}

// account is what one holder may have.
type account struct {
	asked   model.Sequence // newest ask that was answered
	wanted  Amount
	using   Amount    // what the holder said that it may use, older permits included
	granted Amount    // answer to the newest ask, which alone the holder still takes
	lapses  time.Time // when the holder counts as gone
}

const (
	defaultLasts  = 3 * time.Second
	defaultMargin = 500 * time.Millisecond
)

// NewLender returns a lender with defaults, whose exported fields are to be set before its first use.
func NewLender() *Lender {
	return &Lender{
		Lasts:    defaultLasts,
		Margin:   defaultMargin,
		Split:    Demand,
		accounts: make(map[Holder]*account),
	}
}

// Handle answers an ask; it reports false for one that is older than one already answered.
func (l *Lender) Handle(now time.Time, ask Ask) (Grant, bool) {
	l.forget(now)
	holder, found := l.accounts[ask.Holder]
	if !found {
		holder = &account{}
		l.accounts[ask.Holder] = holder
	}
	if ask.Number <= holder.asked {
		return Grant{}, false
	}
	holder.asked = ask.Number
	holder.wanted = ask.Wanted
	holder.using = ask.Using
	holder.granted = l.amount(now, ask)
	holder.lapses = now.Add(l.Lasts + l.Margin)
	return Grant{
		Ask:    ask.Number,
		Term:   l.Term,
		Amount: holder.granted,
		Lasts:  l.Lasts,
	}, true
}

// Lent returns the most that all holders together may be using now.
func (l *Lender) Lent(now time.Time) Amount {
	l.forget(now)
	return l.lentBut(nil)
}

// Own returns what the owner's own queue may use now.
func (l *Lender) Own(now time.Time) Amount {
	return l.Limit.minus(l.Lent(now))
}

// amount returns what the ask is granted.
func (l *Lender) amount(now time.Time, ask Ask) Amount {
	room := l.Limit.minus(l.Reserve).minus(l.lentBut(l.accounts[ask.Holder]))
	if now.Before(l.Start.Add(l.Lasts + l.Margin)) {
		room = room.least(ask.Using)
	}
	return l.share(ask.Holder).least(room)
}

// share returns the holder's part by the split, its connections in proportion to its slots.
func (l *Lender) share(holder Holder) Amount {
	holders := slices.SortedFunc(maps.Keys(l.accounts), compareHolders)
	wanted := make([]model.Slots, len(holders))
	for i, other := range holders {
		wanted[i] = l.accounts[other].wanted.Slots
	}
	spare := l.Limit.minus(l.Reserve)
	slots := l.Split(spare.Slots, wanted)[slices.Index(holders, holder)]
	if spare.Slots == 0 {
		return Amount{}
	}
	connections := spare.Connections * model.Connections(slots) / model.Connections(spare.Slots)
	return Amount{slots, connections}
}

// lentBut returns the most that all holders but the given one may be using.
func (l *Lender) lentBut(but *account) Amount {
	var sum Amount
	for _, holder := range l.accounts {
		if holder != but {
			sum = sum.plus(holder.using.most(holder.granted))
		}
	}
	return sum
}

// forget drops the holders whose permits have lapsed.
func (l *Lender) forget(now time.Time) {
	maps.DeleteFunc(l.accounts, func(_ Holder, holder *account) bool { return !now.Before(holder.lapses) })
}

// compareHolders orders holders by host, then by incarnation.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
