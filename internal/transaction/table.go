package transaction

import (
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"redwingspread/internal/model"
)

// idParts is the number of parts of a transaction id: host, random text and database.
const idParts = 3

// NewID returns an unguessable id for a transaction of the database that is open on the host.
func NewID(database model.DatabaseID, host model.HostID) model.TransactionID {
	return model.TransactionID(strings.Join([]string{string(host), rand.Text(), string(database)}, "/"))
}

// DatabaseOf returns the database in a transaction id, or a refusal of a malformed id.
func DatabaseOf(id model.TransactionID) (model.DatabaseID, error) {
	parts := strings.SplitN(string(id), "/", idParts)
	if len(parts) != idParts || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return "", model.Refuse(model.CodeInvalid, "%q is not the name of a transaction", id)
	}
	return model.DatabaseID(parts[2]), nil
}

// Open is one open transaction and the resource that it holds.
type Open[R any] struct {
	ID          model.TransactionID
	Database    model.DatabaseID
	Origin      model.HostID  // proxy that began it
	IdleTimeout time.Duration // longest time between two of its calls
	MaxDuration time.Duration // longest time from its begin to its end
	Resource    R

	begun    time.Time
	lastUsed time.Time
	busy     bool
}

// Table holds open transactions; each serves one call at a time.
type Table[R any] struct {
	// Now returns the current time.
	Now func() time.Time

	mutex sync.Mutex
	open  map[model.TransactionID]*Open[R]
}

// New returns an empty table.
func New[R any]() *Table[R] {
	return &Table[R]{Now: time.Now, open: map[model.TransactionID]*Open[R]{}}
}

// Add adds a transaction that has just begun.
func (t *Table[R]) Add(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open.begun = t.Now()
	open.lastUsed = open.begun
	t.open[open.ID] = open
}

// Acquire reserves a transaction for one call, which Release or Remove ends, or returns a refusal; a refused call did not run.
func (t *Table[R]) Acquire(id model.TransactionID) (*Open[R], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open, found := t.open[id]
	if !found {
		return nil, model.Refuse(model.CodeTransactionEnded, "the transaction %s is not open", id)
	}
	if open.busy {
		return nil, model.Refuse(model.CodeInvalid, "another call of the transaction is in progress")
	}
	if open.expired(t.Now()) {
		return nil, model.Refuse(model.CodeTransactionEnded, "the transaction %s is past its time", id)
	}
	open.busy = true
	return open, nil
}

// Release ends one call of a transaction that stays open.
func (t *Table[R]) Release(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open.busy = false
	open.lastUsed = t.Now()
}

// Remove removes a transaction that has ended.
func (t *Table[R]) Remove(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, open.ID)
}

// Expire removes and returns the transactions past their time limits, except those with a call in progress.
func (t *Table[R]) Expire() []*Open[R] {
	now := t.Now()
	return t.RemoveIf(func(open *Open[R]) bool { return open.expired(now) })
}

// Len returns the number of open transactions.
func (t *Table[R]) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}

// RemoveIf removes and returns the transactions that match the condition, except those with a call in progress.
func (t *Table[R]) RemoveIf(condition func(open *Open[R]) bool) []*Open[R] {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var removed []*Open[R]
	for id, open := range t.open {
		if !open.busy && condition(open) {
			delete(t.open, id)
			removed = append(removed, open)
		}
	}
	return removed
}

// expired reports whether the transaction has been idle or open for too long.
func (o *Open[R]) expired(now time.Time) bool {
	return now.Sub(o.lastUsed) > o.IdleTimeout || now.Sub(o.begun) > o.MaxDuration
}
