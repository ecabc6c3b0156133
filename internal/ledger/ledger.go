package ledger

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/platform"
	"redwingspread/internal/rollout"
)

// commitRetryPause is the time between two tries to settle a lost answer.
const commitRetryPause = 50 * time.Millisecond

// Ledger keeps every accepted configuration on the platform.
type Ledger struct {
	Store platform.Store
	// Nonce returns a new mark for one attempt.
	Nonce func() model.Nonce
	// Now reads the clock.
	Now func() time.Time
	// InForce returns the version in force on this host, which may be newer than the row of a store that was set back.
	InForce func() model.Version
}

// Conflict is the error of a change that lost a race: another configuration was accepted first.
type Conflict struct {
	Expected model.Version
	Current  rollout.Header // zero when there is no configuration yet
}

// Error names both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: expected version %d, but version %d by %s is accepted", c.Expected, c.Current.Version, c.Current.Author)
}

// Commit accepts the document as the version after the expected one; *Conflict means that it did not, a *model.Refusal with CodeOutcomeUnknown that nobody knows.
func (l *Ledger) Commit(ctx context.Context, expected model.Version, author config.Author, document config.Document) (head rollout.Header, err error) {
	defer annotate(&err, "commit configuration")
	state, err := l.readRow(ctx)
	if err != nil {
		return rollout.Header{}, markNotRun(err)
	}
	current := state.newest()
	if current.Version != expected && (current.Version > expected || l.InForce() != expected) {
		return rollout.Header{}, &Conflict{Expected: expected, Current: current}
	}
	head = l.newHeader(expected+1, author)
	value, err := l.storeObject(ctx, head, state.headers, document)
	if err != nil {
		return rollout.Header{}, markNotRun(err)
	}
	return l.commitRow(ctx, attempt{expected: expected, header: head, rowVersion: state.version, rowValue: value})
}

// attempt is one try to accept a configuration.
type attempt struct {
	expected   model.Version
	header     rollout.Header
	rowVersion model.Version // the row's version that must still hold
	rowValue   string        // the row's new value
}

// newHeader makes the head of a new attempt.
func (l *Ledger) newHeader(version model.Version, author config.Author) rollout.Header {
	nonce := l.Nonce()
	return rollout.Header{Version: version, Nonce: nonce, Object: objectName(version, nonce), Author: author, Time: l.Now().UTC()}
}

// storeObject writes the attempt's object, which nobody reads before the row names it, and returns the row's value.
func (l *Ledger) storeObject(ctx context.Context, head rollout.Header, heads []rollout.Header, document config.Document) (value string, err error) {
	entry := Entry{Header: head, Document: document}
	if len(heads) > 0 {
		entry.Previous = &heads[0]
	}
	text, err := encodeEntry(entry)
	if err != nil {
		return "", err
	}
	if err := l.Store.PutObject(ctx, head.Object, text); err != nil {
		return "", err
	}
	return encodeRow(head, heads)
}

// commitRow commits the row and repeats the same attempt after a lost answer, until the table service tells what became of it.
func (l *Ledger) commitRow(ctx context.Context, a attempt) (rollout.Header, error) {
	checks := []platform.Check{{Key: RowKey, Version: a.rowVersion}}
	puts := []platform.Put{{Key: RowKey, Value: a.rowValue}}
	doubt := false
	for {
		commit, err := l.Store.Commit(ctx, checks, puts)
		if err == nil && commit.Committed {
			return a.header, nil
		}
		if err == nil {
			return a.resolve(commit.Rows)
		}
		doubt = doubt || !model.NotRun(err)
		if clock.Pause(ctx, commitRetryPause) == nil {
			continue
		}
		if doubt {
			return rollout.Header{}, model.OutcomeUnknown("the platform does not answer: %v", err)
		}
		return rollout.Header{}, markNotRun(err)
	}
}

// resolve tells whether a failed check means that an earlier try of the same attempt was committed, or another attempt.
func (a attempt) resolve(rows []platform.Row) (rollout.Header, error) {
	conflict := &Conflict{Expected: a.expected}
	for _, current := range rows {
		if current.Key != RowKey || current.Version == 0 {
			continue
		}
		heads, err := parseHeaders(current.Value)
		if err != nil {
			return rollout.Header{}, err
		}
		for _, accepted := range heads {
			if accepted.Nonce == a.header.Nonce {
				return a.header, nil
			}
		}
		conflict.Current = heads[0]
	}
	return rollout.Header{}, conflict
}

// Newest returns the newest head, zero when there is no configuration yet.
func (l *Ledger) Newest(ctx context.Context) (head rollout.Header, err error) {
	defer annotate(&err, "read configuration's row")
	state, err := l.readRow(ctx)
	return state.newest(), err
}

// rowState is the row as read: its own version and its heads, newest first.
type rowState struct {
	version model.Version
	headers []rollout.Header
}

// newest returns the newest head, or a zero one.
func (s rowState) newest() rollout.Header {
	if len(s.headers) == 0 {
		return rollout.Header{}
	}
	return s.headers[0]
}

// readRow reads the row.
func (l *Ledger) readRow(ctx context.Context) (rowState, error) {
	rows, _, err := l.Store.Rows(ctx, RowKey, 0)
	if err != nil {
		return rowState{}, err
	}
	for _, found := range rows {
		if found.Key == RowKey && found.Version > 0 {
			heads, err := parseHeaders(found.Value)
			return rowState{version: found.Version, headers: heads}, err
		}
	}
	return rowState{}, nil
}

// Load reads the accepted configuration of a head.
func (l *Ledger) Load(ctx context.Context, head rollout.Header) (entry Entry, err error) {
	defer annotate(&err, fmt.Sprintf("load configuration %d", head.Version))
	text, err := l.Store.Object(ctx, head.Object)
	if err != nil {
		return Entry{}, err
	}
	return parseEntry(text, head)
}

// History returns the newest accepted configurations, at most limit, newest first.
func (l *Ledger) History(ctx context.Context, limit int) (heads []rollout.Header, err error) {
	defer annotate(&err, "read configuration's history")
	state, err := l.readRow(ctx)
	heads = state.headers
	if err != nil || len(heads) >= limit {
		return heads[:min(len(heads), limit)], err
	}
	for len(heads) > 0 && len(heads) < limit {
		entry, err := l.Load(ctx, heads[len(heads)-1])
		if err != nil {
			return nil, err
		}
		if entry.Previous == nil {
			break
		}
		heads = append(heads, *entry.Previous)
	}
	return heads, nil
}

// Version returns one accepted configuration; version 0 is the built-in one.
func (l *Ledger) Version(ctx context.Context, version model.Version) (entry Entry, err error) {
	if version == 0 {
		return Entry{Document: config.Default()}, nil
	}
	defer annotate(&err, fmt.Sprintf("find configuration %d", version))
	state, err := l.readRow(ctx)
	if err != nil {
		return Entry{}, err
	}
	heads := state.headers
	for _, head := range heads {
		if head.Version == version {
			return l.Load(ctx, head)
		}
	}
	if len(heads) == 0 || version > heads[0].Version {
		return Entry{}, model.Refuse(model.CodeNotFound, "no configuration has version %d", version)
	}
	return l.findEarlier(ctx, heads[len(heads)-1], version)
}

// findEarlier goes back from an accepted configuration to an earlier version.
func (l *Ledger) findEarlier(ctx context.Context, from rollout.Header, version model.Version) (Entry, error) {
	for {
		entry, err := l.Load(ctx, from)
		if err != nil || entry.Header.Version == version {
			return entry, err
		}
		if entry.Previous == nil {
			return Entry{}, model.Refuse(model.CodeNotFound, "no configuration has version %d", version)
		}
		from = *entry.Previous
	}
}

// markNotRun marks a failure before the row was touched: the change certainly had no effect.
func markNotRun(err error) error {
	if model.NotRun(err) {
		return err
	}
	return fmt.Errorf("%w: %w", model.Refuse(model.CodeUnavailable, "nothing was changed"), err)
}

// annotate adds what was tried to an error.
func annotate(err *error, tried string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", tried, *err)
	}
}
