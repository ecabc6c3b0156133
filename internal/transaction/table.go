package transaction

import (
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"redwingspread/internal/model"
)

// hostEnd separates the host from the rest of a transaction's name.
const hostEnd = "/"

// NewID returns an unguessable name of a transaction that the host holds.
func NewID(host model.HostID) model.TransactionID {
	return model.TransactionID(string(host) + hostEnd + rand.Text())
}

// HostOf returns the host that holds the transaction, and whether the name is well formed.
func HostOf(id model.TransactionID) (model.HostID, bool) {
	host, rest, found := strings.Cut(string(id), hostEnd)
	return model.HostID(host), found && host != "" && rest != ""
}

// Open is one open transaction and the resource that it holds.
type Open[R any] struct {
	ID       model.TransactionID
	Database model.DatabaseID
	Origin   model.HostID // proxy that began it
	Request  model.RequestID
	Kind     model.KindID
	Idle     time.Duration // greatest time between two of its calls
	Limit    time.Duration // greatest time from its begin to its end
	Resource R

	begun time.Time
	used  time.Time
	busy  bool
}

// Table holds open transactions; each serves one call at a time.
type Table[R any] struct {
	// Now reads the clock.
	Now func() time.Time

	mutex sync.Mutex
	open  map[model.TransactionID]*Open[R]
}

// New returns an empty table.
func New[R any]() *Table[R] {
	return &Table[R]{Now: time.Now, open: map[model.TransactionID]*Open[R]{}}
}

// Add takes a transaction that has just begun.
func (t *Table[R]) Add(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open.begun = t.Now()
	open.used = open.begun
	t.open[open.ID] = open
}

// Take returns a transaction for one call, which Return or Remove ends, or a refusal that did not run.
func (t *Table[R]) Take(id model.TransactionID) (*Open[R], error) {
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

// Return ends one call of a transaction that stays open.
func (t *Table[R]) Return(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open.busy = false
	open.used = t.Now()
}

// Remove takes a transaction that ends out of the table.
func (t *Table[R]) Remove(open *Open[R]) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, open.ID)
}

// Expire takes out and returns the transactions that are past their time, but none in the middle of a call.
func (t *Table[R]) Expire() []*Open[R] {
	now := t.Now()
	return t.removeIf(func(open *Open[R]) bool { return open.expired(now) })
}

// Abandon takes out and returns the transactions that a lost proxy began.
func (t *Table[R]) Abandon(origin model.HostID) []*Open[R] {
	return t.removeIf(func(open *Open[R]) bool { return open.Origin == origin })
}

// Drop takes out and returns the transactions of a database that has another owner or primary now.
func (t *Table[R]) Drop(database model.DatabaseID) []*Open[R] {
	return t.removeIf(func(open *Open[R]) bool { return open.Database == database })
}

// Len returns the number of open transactions.
func (t *Table[R]) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}

// removeIf takes out and returns the idle transactions that the condition holds for.
func (t *Table[R]) removeIf(condition func(open *Open[R]) bool) []*Open[R] {
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

// expired reports whether the transaction was idle for too long or is open for too long.
func (o *Open[R]) expired(now time.Time) bool {
	return now.Sub(o.used) > o.Idle || now.Sub(o.begun) > o.Limit
}
