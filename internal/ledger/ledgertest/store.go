package ledgertest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// Fault is a failure that the store simulates.
type Fault string

// The faults.
const (
	None           Fault = ""
	Down           Fault = "down"            // calls fail without an effect
	ObjectsDown    Fault = "objects down"    // calls of the object store fail without an effect
	AnswersLost    Fault = "answers lost"    // commits take effect, but the caller gets an error
	CommitsLost    Fault = "commits lost"    // commits have no effect, but the caller can't tell
	CommitsRefused Fault = "commits refused" // commits fail with a refusal that certainly had no effect
)

// errNoAnswer is the error of a call whose outcome the caller can't know.
var errNoAnswer = errors.New("no answer")

// Store is an in-memory platform with fault injection.
type Store struct {
	mu         sync.Mutex
	fault      Fault
	faultCalls int
	rows       map[model.RowKey]platform.Row
	objects    map[model.ObjectName]string
	revision   model.Revision
	onCommit   func()
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[model.RowKey]platform.Row{}, objects: map[model.ObjectName]string{}}
}

// Fail injects a fault into the given number of the calls that it affects.
func (s *Store) Fail(fault Fault, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.faultCalls = calls
}

// OnCommit sets a function that runs once, just before the next commit is handled.
func (s *Store) OnCommit(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = run
}

// Reset deletes all rows and objects, like a store that lost its data.
func (s *Store) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
	clear(s.objects)
}

// useFault reports whether one of the given faults is active, and if so uses up one of its calls.
func (s *Store) useFault(faults ...Fault) bool {
	if s.faultCalls == 0 || !slices.Contains(faults, s.fault) {
		return false
	}
	s.faultCalls--
	return true
}

// Rows returns the rows with the key prefix that changed after the revision.
func (s *Store) Rows(_ context.Context, prefix model.RowKey, after model.Revision) ([]platform.Row, model.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.useFault(Down) {
		return nil, 0, errNoAnswer
	}
	var found []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(string(key), string(prefix)) && row.Revision > after {
			found = append(found, row)
		}
	}
	return found, s.revision, nil
}

// Commit writes all rows if every check holds.
func (s *Store) Commit(_ context.Context, checks []platform.Check, puts []platform.Put) (platform.CommitResult, error) {
	s.runOnCommit()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.useFault(CommitsRefused) {
		return platform.CommitResult{}, model.Refuse(model.CodeUnavailable, "busy")
	}
	if s.useFault(Down, CommitsLost) {
		return platform.CommitResult{}, errNoAnswer
	}
	commit := s.apply(checks, puts)
	if s.useFault(AnswersLost) {
		return platform.CommitResult{}, errNoAnswer
	}
	return commit, nil
}

// runOnCommit runs the function set by OnCommit, once.
func (s *Store) runOnCommit() {
	s.mu.Lock()
	run := s.onCommit
	s.onCommit = nil
	s.mu.Unlock()
	if run != nil {
		run()
	}
}

// apply checks and applies a commit.
func (s *Store) apply(checks []platform.Check, puts []platform.Put) platform.CommitResult {
	var failed []platform.Row
	for _, check := range checks {
		if row := s.rows[check.Key]; row.Version != check.Version {
			row.Key = check.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return platform.CommitResult{Rows: failed}
	}
	s.revision++
	commit := platform.CommitResult{Committed: true}
	for _, put := range puts {
		row := platform.Row{Key: put.Key, Version: s.rows[put.Key].Version + 1, Revision: s.revision, Value: put.Value}
		s.rows[put.Key] = row
		commit.Rows = append(commit.Rows, row)
	}
	return commit
}

// Object returns one object.
func (s *Store) Object(_ context.Context, name model.ObjectName) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.useFault(Down, ObjectsDown) {
		return "", errNoAnswer
	}
	content, found := s.objects[name]
	if !found {
		return "", model.Refuse(model.CodeNotFound, "no object %s", name)
	}
	return content, nil
}

// PutObject writes one object.
func (s *Store) PutObject(_ context.Context, name model.ObjectName, content string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.useFault(Down, ObjectsDown) {
		return errNoAnswer
	}
	s.objects[name] = content
	return nil
}

// Objects returns the names of the objects with the prefix.
func (s *Store) Objects(_ context.Context, prefix model.ObjectName) ([]model.ObjectName, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []model.ObjectName
	for name := range s.objects {
		if strings.HasPrefix(string(name), string(prefix)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Members returns no members.
func (s *Store) Members(context.Context) (platform.Members, error) {
	return platform.Members{}, nil
}
