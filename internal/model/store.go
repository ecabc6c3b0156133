package model

import "cmp"

// Era counts how often the platform's store has come back from an older copy, without the changes made since; zero where the store
// doesn't tell.
type Era uint64

// StorePosition is a position in the platform's store: a revision names one content only within its era.
type StorePosition struct {
	Era      Era
	Revision Revision
}

// Compare orders positions by era, then by revision.
func (p StorePosition) Compare(q StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether the position is later than another one.
func (p StorePosition) After(q StorePosition) bool { return p.Compare(q) > 0 }

// Latest returns the later of two positions.
func (p StorePosition) Latest(q StorePosition) StorePosition {
	if q.After(p) {
		return q
	}
	return p
}

// eraTokenBits is the number of low bits of a token that count the promotions of one era. The upper ones hold the era, so that a token
// of a later era is higher than those of the eras before, which the store may have forgotten.
const eraTokenBits = 20

// Next returns the token of the promotion after the one with this token, given out in an era of the store.
func (t Token) Next(era Era) Token { return max(t, Token(era)<<eraTokenBits) + 1 }
