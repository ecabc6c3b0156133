package budget

import (
	"sync"
	"sync/atomic"

	"redwingspread/internal/model"
)

// Use is what memory is used for.
type Use uint8

// The uses.
const (
	Messages Use = iota // messages of callers that are arriving or being handled
	Answers             // answers of instances that are arriving or being relayed
	State               // values and prepared statements of sessions
	Pool                // values and prepared statements of connections to instances, which outlive the session
	Reserve             // messages within the reserve of their session, beyond the limit of the others
	useCount
)

// Uses are all uses.
var Uses = [useCount]Use{Messages, Answers, State, Pool, Reserve}

// names are the names of the uses in logs and metrics.
var names = [useCount]string{"messages", "answers", "state", "pool", "reserve"}

// shares are the parts of the limit that each use may take, so that clients that hold one kind of memory leave some for others. What
// Reserve takes does not count in the limit.
var shares = [useCount]model.Percent{Messages: 60, Answers: 90, State: 40, Pool: 15, Reserve: 50}

// String returns the name of the use.
func (u Use) String() string { return names[u] }

// refusalMessage is the text of refusals for lack of memory.
const refusalMessage = "the host has no memory left for its clients"

// Budget is an amount of memory that accounts draw on; a nil budget has no limit.
type Budget struct {
	// Limit is the amount, without what Reserve may take beside it.
	Limit model.Bytes
	// Refused is called after each refusal; it must not block. It may be nil.
	Refused func(use Use)

	used     atomic.Int64
	byUse    [useCount]atomic.Int64
	peak     atomic.Int64
	refusals [useCount]atomic.Int64
}

// New returns a budget; set its exported fields before use.
func New() *Budget { return &Budget{} }

// Used returns the amount in use, without that of Reserve.
func (b *Budget) Used() model.Bytes { return model.Bytes(b.used.Load()) }

// Peak returns the greatest amount that was in use, without that of Reserve.
func (b *Budget) Peak() model.Bytes { return model.Bytes(b.peak.Load()) }

// Refusals returns how often an account of the use was refused memory.
func (b *Budget) Refusals(use Use) int64 { return b.refusals[use].Load() }

// take takes an amount, which may be negative, and reports whether the limits allow it.
func (b *Budget) take(use Use, amount model.Bytes) bool {
	if amount <= 0 {
		b.byUse[use].Add(int64(amount))
		if use != Reserve {
			b.used.Add(int64(amount))
		}
		return true
	}
	part := b.Limit * model.Bytes(shares[use]) / 100
	if !raise(&b.byUse[use], amount, part) {
		return b.refuse(use)
	}
	if use == Reserve {
		return true
	}
	if !raise(&b.used, amount, b.Limit) {
		b.byUse[use].Add(-int64(amount))
		return b.refuse(use)
	}
	b.notePeak()
	return true
}

// refuse counts a refusal and returns false.
func (b *Budget) refuse(use Use) bool {
	b.refusals[use].Add(1)
	if b.Refused != nil {
		b.Refused(use)
	}
	return false
}

// raise adds an amount to what is in use, unless that exceeds the limit, and reports whether it did.
func raise(used *atomic.Int64, amount, limit model.Bytes) bool {
	for {
		before := used.Load()
		after := before + int64(amount)
		if after > int64(limit) {
			return false
		}
		if used.CompareAndSwap(before, after) {
			return true
		}
	}
}

// notePeak records the amount in use.
func (b *Budget) notePeak() {
	for {
		used, peak := b.used.Load(), b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Account is what one holder uses of a budget. The zero account has no limit.
type Account struct {
	budget *Budget
	use    Use
	free   model.Bytes  // a holder's reserve, which is not taken from the budget
	taken  atomic.Int64 // from the budget; changed with the mutex held
	mutex  sync.Mutex
	closed bool
}

// Init sets the budget, the use and the reserve of an account before its first use.
func (a *Account) Init(budget *Budget, use Use, free model.Bytes) {
	a.budget, a.use, a.free = budget, use, free
}

// Resize changes the size of what the holder uses. If the budget has no room for it, the account keeps its size and Resize returns a
// refusal. Sizes within the reserve are never refused.
func (a *Account) Resize(size model.Bytes) *model.Refusal {
	if a.budget == nil {
		return nil
	}
	want := max(size-a.free, 0)
	if int64(want) == a.taken.Load() {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed || !a.budget.take(a.use, want-model.Bytes(a.taken.Load())) {
		return model.Refuse(model.CodeOverloaded, refusalMessage)
	}
	a.taken.Store(int64(want))
	return nil
}

// Grow takes a further amount, or returns a refusal if the budget has no room for it. The account must have no reserve.
func (a *Account) Grow(amount model.Bytes) *model.Refusal {
	if a.budget == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed || !a.budget.take(a.use, amount) {
		return model.Refuse(model.CodeOverloaded, refusalMessage)
	}
	a.taken.Add(int64(amount))
	return nil
}

// Close gives everything back. A closed account is refused any further amount.
func (a *Account) Close() {
	if a.budget == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.closed = true
	a.budget.take(a.use, -model.Bytes(a.taken.Swap(0)))
}
