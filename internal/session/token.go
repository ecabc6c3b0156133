package session

import (
	"slices"

	"redwingspread/internal/model"
)

// Entry is what a session has seen of one database.
type Entry struct {
	Database model.DatabaseID
	Point    model.Point
	Pending  model.RequestID // a write whose outcome the session does not know; empty when none
}

// Token is what a session has seen; its methods return changed copies and leave it as it is.
type Token struct {
	Session model.SessionID
	Entries []Entry // most recently raised first
	Partial bool    // entries were dropped, so a missing one tells nothing
}

// New returns the token of a session that has seen nothing.
func New(id model.SessionID) Token {
	return Token{Session: id}
}

// Point returns the newest point that the session has seen of the database, or the zero point.
func (t Token) Point(database model.DatabaseID) model.Point {
	if i := t.index(database); i >= 0 {
		return t.Entries[i].Point
	}
	return model.Point{}
}

// Pending returns the request id of the session's write whose outcome is not known, or an empty one.
func (t Token) Pending(database model.DatabaseID) model.RequestID {
	if i := t.index(database); i >= 0 {
		return t.Entries[i].Pending
	}
	return ""
}

// Complete reports whether the token tells all that the session has seen of the database.
func (t Token) Complete(database model.DatabaseID) bool {
	return !t.Partial || t.index(database) >= 0
}

// RaisePoint returns the token with the database's point raised to the given one, never lowered.
func (t Token) RaisePoint(database model.DatabaseID, point model.Point) Token {
	entry := t.entry(database)
	if point.Compare(entry.Point) > 0 {
		entry.Point = point
	}
	return t.withEntry(entry)
}

// SetPending returns the token with a write of the database whose outcome is not known.
func (t Token) SetPending(database model.DatabaseID, request model.RequestID) Token {
	entry := t.entry(database)
	entry.Pending = request
	return t.withEntry(entry)
}

// ClearPending returns the token without the database's pending write.
func (t Token) ClearPending(database model.DatabaseID) Token {
	return t.SetPending(database, "")
}

// Forget returns the token without the database's entry, for a caller that has accepted a lost write.
func (t Token) Forget(database model.DatabaseID) Token {
	i := t.index(database)
	if i < 0 {
		return t
	}
	t.Entries = slices.Delete(slices.Clone(t.Entries), i, i+1)
	return t
}

// entry returns the database's entry, or an empty one.
func (t Token) entry(database model.DatabaseID) Entry {
	if i := t.index(database); i >= 0 {
		return t.Entries[i]
	}
	return Entry{Database: database}
}

// withEntry returns the token with the entry in front.
func (t Token) withEntry(entry Entry) Token {
	entries := make([]Entry, 0, len(t.Entries)+1)
	entries = append(entries, entry)
	for _, other := range t.Entries {
		if other.Database != entry.Database {
			entries = append(entries, other)
		}
	}
	t.Entries = entries
	return t
}

// index returns the place of the database's entry, or -1.
func (t Token) index(database model.DatabaseID) int {
	for i := range t.Entries {
		if t.Entries[i].Database == database {
			return i
		}
	}
	return -1
}
