package session

import (
	"slices"

	"redwingspread/internal/model"
)

// Entry records what a session has observed of one database.
type Entry struct {
	Database model.DatabaseID
	Point    model.Point     // newest log position observed
	Pending  model.RequestID // request id of a write with unknown outcome; empty for none
}

// Token records what a session has observed. It is immutable: its methods return changed copies.
type Token struct {
	Session model.SessionID
	Entries []Entry // most recently changed first
	Partial bool    // entries were dropped, so a missing entry does not mean that the database is unseen
}

// New returns the token of a new session.
func New(id model.SessionID) Token {
	return Token{Session: id}
}

// Point returns the newest log position that the session has observed of the database, or the zero point.
func (t Token) Point(database model.DatabaseID) model.Point {
	if i := t.index(database); i >= 0 {
		return t.Entries[i].Point
	}
	return model.Point{}
}

// Pending returns the request id of the session's write with unknown outcome, or an empty id.
func (t Token) Pending(database model.DatabaseID) model.RequestID {
	if i := t.index(database); i >= 0 {
		return t.Entries[i].Pending
	}
	return ""
}

// Complete reports whether the token holds everything that the session has observed of the database: it has an entry, or
// no entry was dropped.
func (t Token) Complete(database model.DatabaseID) bool {
	return !t.Partial || t.index(database) >= 0
}

// RaisePoint returns the token with the database's point raised to the given one. It never lowers the point.
func (t Token) RaisePoint(database model.DatabaseID, point model.Point) Token {
	entry := t.entry(database)
	if point.Compare(entry.Point) > 0 {
		entry.Point = point
	}
	return t.withEntry(entry)
}

// SetPending returns the token with a pending write, one with unknown outcome, of the database.
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

// entry returns the database's entry, or a new one.
func (t Token) entry(database model.DatabaseID) Entry {
	if i := t.index(database); i >= 0 {
		return t.Entries[i]
	}
	return Entry{Database: database}
}

// withEntry returns the token with the entry at the front, replacing the database's earlier one.
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

// index returns the index of the database's entry, or -1.
func (t Token) index(database model.DatabaseID) int {
	for i := range t.Entries {
		if t.Entries[i].Database == database {
			return i
		}
	}
	return -1
}
