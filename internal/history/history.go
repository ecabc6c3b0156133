package history

import (
	"sync"

	"redwingspread/internal/model"
)

// ListKey identifies a list in a database. A write appends its request id to the list, and a read returns the whole list.
type ListKey struct {
	Database model.DatabaseID
	Name     string
}

// Outcome is the result of an attempt as reported to its caller.
type Outcome string

// The outcomes of an attempt.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"  // executed without changing data
	NotRun  Outcome = "not_run" // never executed
	Unknown Outcome = "unknown" // may or may not have been executed
)

// LogicalTime is a counter that orders the starts and ends of all attempts.
type LogicalTime uint64

// Attempt is one attempt at a request, as its caller observed it.
type Attempt struct {
	Session    model.SessionID
	Request    model.RequestID
	List       ListKey
	Access     model.Access
	Durability model.Durability // durability of an acknowledged write
	Outcome    Outcome
	Entries    []model.RequestID // list returned by a read
	Start      LogicalTime
	End        LogicalTime
}

// Recorder collects the attempts of concurrent callers; it is safe for concurrent use.
type Recorder struct {
	mutex    sync.Mutex
	clock    LogicalTime
	attempts []Attempt
}

// Begin advances the clock and returns the start time of an attempt.
func (r *Recorder) Begin() LogicalTime {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clock++
	return r.clock
}

// Record adds an attempt and sets its end to the current logical time.
func (r *Recorder) Record(attempt Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clock++
	attempt.End = r.clock
	r.attempts = append(r.attempts, attempt)
}

// Attempts returns a copy of the recorded attempts, ordered by their ends.
func (r *Recorder) Attempts() []Attempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Attempt(nil), r.attempts...)
}
