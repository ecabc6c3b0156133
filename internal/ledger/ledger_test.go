package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger/ledgertest"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// newLedger returns a ledger on the store whose nonces are the label and a counter.
func newLedger(store *ledgertest.Store, label string) *Ledger {
	count := 0
	return &Ledger{
		Store:   store,
		Now:     time.Now,
		InForce: func() model.Version { return 0 },
		Nonce: func() model.Nonce {
			count++
			return model.Nonce(fmt.Sprintf("%s-%d", label, count))
		},
	}
}

// documentOf returns a document with the label as the name of its first kind.
func documentOf(label string) config.Document {
	document := config.Default()
	document.Kinds[0].Name = model.KindID(label)
	return document
}

// mustCommit commits a document, and fails the test unless it is accepted.
func mustCommit(t *testing.T, l *Ledger, expected model.Version, label string) {
	t.Helper()
	if _, err := l.Commit(t.Context(), expected, "Dana", documentOf(label)); err != nil {
		t.Fatal(err)
	}
}

// outcome is the result of a change as an operator sees it.
type outcome string

// The outcomes of a change.
const (
	accepted outcome = "accepted"
	conflict outcome = "conflict"
	notRun   outcome = "not run"
	unknown  outcome = "unknown"
)

// outcomeOf classifies the error of a commit.
func outcomeOf(err error) outcome {
	var versionConflict *Conflict
	var refusal *model.Refusal
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &versionConflict):
		return conflict
	case errors.As(err, &refusal) && refusal.NotRun:
		return notRun
	case errors.As(err, &refusal):
		return unknown
	default:
		return outcome(err.Error())
	}
}

func TestCommit(t *testing.T) {
	const forever = 1 << 30
	tests := map[string]struct {
		prepare  func(t *testing.T, store *ledgertest.Store)
		expected model.Version
		want     outcome
		version  model.Version // newest accepted version afterwards
		label    string        // label of its document
	}{
		"first": {want: accepted, version: 1, label: "mine"},
		"second": {
			prepare:  func(t *testing.T, s *ledgertest.Store) { mustCommit(t, newLedger(s, "other"), 0, "theirs") },
			expected: 1, want: accepted, version: 2, label: "mine",
		},
		"expected version is older than the newest": {
			prepare: func(t *testing.T, s *ledgertest.Store) { mustCommit(t, newLedger(s, "other"), 0, "theirs") },
			want:    conflict, version: 1, label: "theirs",
		},
		"expected version does not exist": {expected: 7, want: conflict, version: 0},
		"another commit between read and commit": {
			prepare: func(t *testing.T, s *ledgertest.Store) {
				s.OnCommit(func() { mustCommit(t, newLedger(s, "other"), 0, "theirs") })
			},
			want: conflict, version: 1, label: "theirs",
		},
		"answer of an applied commit lost": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.AnswersLost, 1) },
			want:    accepted, version: 1, label: "mine",
		},
		"answer of an applied commit lost, then a later change": {
			prepare: func(t *testing.T, s *ledgertest.Store) {
				s.Fail(ledgertest.AnswersLost, 1)
				go func() {
					time.Sleep(commitRetryPause / 2) // fake time of synctest
					mustCommit(t, newLedger(s, "other"), 1, "theirs")
				}()
			},
			want: accepted, version: 2, label: "theirs",
		},
		"commit lost, then another change wins": {
			prepare: func(t *testing.T, s *ledgertest.Store) {
				s.Fail(ledgertest.CommitsLost, 1)
				go func() {
					time.Sleep(commitRetryPause / 2) // fake time of synctest
					mustCommit(t, newLedger(s, "other"), 0, "theirs")
				}()
			},
			want: conflict, version: 1, label: "theirs",
		},
		"three commits lost": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.CommitsLost, 3) },
			want:    accepted, version: 1, label: "mine",
		},
		"all commits lost": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.CommitsLost, forever) },
			want:    unknown, version: 0,
		},
		"all commits refused": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.CommitsRefused, forever) },
			want:    notRun, version: 0,
		},
		"object store unavailable": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.ObjectsDown, 1) },
			want:    notRun, version: 0,
		},
		"platform unavailable": {
			prepare: func(_ *testing.T, s *ledgertest.Store) { s.Fail(ledgertest.Down, 1) },
			want:    notRun, version: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := ledgertest.New()
				if test.prepare != nil {
					test.prepare(t, store)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := newLedger(store, "mine").Commit(ctx, test.expected, "Dana", documentOf("mine"))
				if got := outcomeOf(err); got != test.want {
					t.Fatalf("got %s (%v), want %s", got, err, test.want)
				}
				synctest.Wait()
				store.Fail(ledgertest.None, 0)
				checkNewest(t, newLedger(store, "reader"), test.version, test.label)
			})
		})
	}
}

// checkNewest fails the test unless the newest accepted configuration has the version and the label.
func checkNewest(t *testing.T, l *Ledger, version model.Version, label string) {
	t.Helper()
	header, err := l.Newest(t.Context())
	if err != nil || header.Version != version {
		t.Fatalf("got version %d (%v), want %d", header.Version, err, version)
	}
	if version == 0 {
		return
	}
	entry, err := l.Load(t.Context(), header)
	if err != nil || config.Diff(entry.Document, documentOf(label)) != nil {
		t.Errorf("got %v (%v), want %q", entry.Document, err, label)
	}
}

// TestCommitAfterStoreReset checks that a store which lost its data accepts a change on the version that this host has in
// force, and on no other.
func TestCommitAfterStoreReset(t *testing.T) {
	store := ledgertest.New()
	ledger := newLedger(store, "mine")
	for version := range model.Version(3) {
		mustCommit(t, ledger, version, "text")
	}
	store.Reset()
	if _, err := ledger.Commit(t.Context(), 3, "Dana", documentOf("again")); outcomeOf(err) != conflict {
		t.Fatalf("got %v, want a conflict for a version that no host has in force", err)
	}
	ledger.InForce = func() model.Version { return 3 }
	mustCommit(t, ledger, 3, "again")
	checkNewest(t, ledger, 4, "again")
}

func TestHistory(t *testing.T) {
	store := ledgertest.New()
	ledger := newLedger(store, "mine")
	const changes = 40 // more than maxRowHeaders
	for version := range model.Version(changes) {
		mustCommit(t, ledger, version, fmt.Sprint(version+1))
	}
	tests := map[string]struct {
		limit int
		want  int
	}{
		"within the row's headers":    {5, 5},
		"more than the row's headers": {30, 30},
		"limit above the total":       {1000, changes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			headers, err := ledger.History(t.Context(), test.limit)
			if err != nil || len(headers) != test.want {
				t.Fatalf("got %d versions (%v), want %d", len(headers), err, test.want)
			}
			for i, header := range headers {
				if want := model.Version(changes - i); header.Version != want {
					t.Errorf("got version %d, want %d", header.Version, want)
				}
			}
		})
	}
	for _, version := range []model.Version{1, 24, 25, 40} {
		entry, err := ledger.Version(t.Context(), version)
		if err != nil || config.Diff(entry.Document, documentOf(fmt.Sprint(version))) != nil {
			t.Errorf("got %v (%v), want the document of version %d", entry.Document, err, version)
		}
	}
	if _, err := ledger.Version(t.Context(), changes+1); outcomeOf(err) != notRun {
		t.Errorf("got %v, want not found", err)
	}
	if entry, err := ledger.Version(t.Context(), 0); err != nil || config.Diff(entry.Document, config.Default()) != nil {
		t.Errorf("got %v (%v), want the built-in configuration", entry.Document, err)
	}
}

func TestDocumentMessageRoundTrip(t *testing.T) {
	age := config.Milliseconds(7)
	document := config.Default()
	document.Kinds[0].MaxAge = &age
	document.Exceptions = []config.Exception{{
		Name: "n", Database: "d", Kind: "k", Rank: 2, DataCentre: "c", Region: "r", Setting: "s",
		Value: "v", Reason: "why", Author: "a", Date: "2026-03-02", Review: "2026-04-02",
	}}
	document.Tokens = []config.Token{{Name: "n", Role: "reader", Hash: "h", Reason: "why", Author: "a", Date: "2026-03-02"}}
	message, err := DocumentMessage(document)
	if err != nil {
		t.Fatal(err)
	}
	back, err := DocumentFromMessage(message)
	if err != nil {
		t.Fatal(err)
	}
	if got := config.Diff(document, back); got != nil {
		t.Errorf("got %v, want the same document", got)
	}
}

func FuzzParse(f *testing.F) {
	value, err := encodeRow(rollout.Header{Version: 3, Nonce: "n", Object: "config/3-n"}, []rollout.Header{{Version: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(`{"versions":[{}]}`)
	content, err := encodeEntry(Entry{Header: rollout.Header{Version: 1, Nonce: "x"}, Document: config.Default()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(t *testing.T, text string) {
		header, err := ParseRow(text)
		if err != nil && header != (rollout.Header{}) {
			t.Errorf("got %+v with %v, want a zero header", header, err)
		}
		entry, err := parseEntry(text, rollout.Header{Version: 1, Nonce: "x"})
		if err == nil && entry.Header.Nonce != "x" {
			t.Errorf("got the object with nonce %q, want only that with nonce x", entry.Header.Nonce)
		}
	})
}
