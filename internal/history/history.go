package history

import (
	"sync"

	"redwingspread/internal/model"
)

// Key names one list of entries of a database; a write appends its request id, and a read returns the list.
type Key struct {
	Database model.DatabaseID
	Name     string
}

// Outcome is what a caller was told of one attempt.
type Outcome string

// The outcomes of an attempt.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"  // ran and changed nothing
	NotRun  Outcome = "not_run" // certainly had no effect
	Unknown Outcome = "unknown"
)

// LogicalTime orders the starts and ends of all attempts.
type LogicalTime uint64

// Attempt is one request as its caller saw it.
type Attempt struct {
	Session    model.SessionID
	Request    model.RequestID
	Key        Key
	Access     model.Access
	Durability model.Durability // of an acknowledged write
	Outcome    Outcome
	Entries    []model.RequestID // list that a read returned
	Start      LogicalTime
	End        LogicalTime
}

// Recorder collects the attempts of concurrent callers.
type Recorder struct {
	mutex    sync.Mutex
	clock    LogicalTime
	attempts []Attempt
}

// Begin returns the moment at which an attempt starts.
func (r *Recorder) Begin() LogicalTime {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clock++
	return r.clock
}

// Record adds an attempt that ends now.
func (r *Recorder) Record(attempt Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.clock++
	attempt.End = r.clock
	r.attempts = append(r.attempts, attempt)
}

// Attempts returns a copy of what was recorded, in the order of the ends.
func (r *Recorder) Attempts() []Attempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Attempt(nil), r.attempts...)
}
