package quota

import (
	"time"

	"redwingspread/internal/model"
)

// Borrower is a host's side of one instance's permits; it is pure and used by one goroutine at a time.
type Borrower struct {
	// Holder is this run of the host.
	Holder Holder

	permit Grant
	lapses time.Time
	number model.Sequence
	sent   time.Time // when the newest ask was sent
}

// Ask returns the next ask, by what is in use now and what is wanted.
func (b *Borrower) Ask(now time.Time, using, wanted Amount) Ask {
	b.number++
	b.sent = now
	return Ask{
		Holder: b.Holder,
		Number: b.number,
		Using:  using.most(b.Amount(now)),
		Wanted: wanted,
	}
}

// Take takes the answer to the newest ask; older answers, and those of older terms, change nothing.
func (b *Borrower) Take(grant Grant) {
	if grant.Ask != b.number || grant.Term < b.permit.Term {
		return
	}
	b.permit = grant
	b.lapses = b.sent.Add(grant.Lasts)
}

// Amount returns what this host may use now.
func (b *Borrower) Amount(now time.Time) Amount {
	if !now.Before(b.lapses) {
		return Amount{}
	}
	return b.permit.Amount
}
