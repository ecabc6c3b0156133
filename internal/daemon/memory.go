package daemon

import (
	"golang.org/x/time/rate"

	"redwingspread/internal/budget"
	"redwingspread/internal/event"
)

// Parts of the setting memory, as in the role front.
const (
	budgetPercent     = 20 // bodies of requests, and answers
	connectionPercent = 40 // what every connection takes
)

// connectionMemory is the bytes that a connection takes: its stacks, its buffers and a small body.
const connectionMemory = 20 << 10

// newBudget returns the budget for bodies of requests and for answers, or nil without the setting memory.
func (d *Daemon) newBudget() *budget.Budget {
	if d.Settings.Memory == 0 {
		return nil
	}
	b := budget.New()
	b.Limit = d.Settings.Memory.Bytes() * budgetPercent / 100
	limiter := rate.Sometimes{Interval: failureLogInterval}
	b.Refused = func(use budget.Use) {
		limiter.Do(func() { event.MemoryRefused(d.Logger, use.String(), b.Used(), b.Limit) })
	}
	return b
}

// connectionLimit returns how many connections callers may open.
func (d *Daemon) connectionLimit() int {
	if d.Settings.Memory == 0 {
		return d.Settings.ConnectionLimit
	}
	return min(d.Settings.ConnectionLimit, int(d.Settings.Memory.Bytes()*connectionPercent/100/connectionMemory))
}
