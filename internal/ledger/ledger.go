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

// commitRetryPause is the time between two attempts to commit the row after an error.
const commitRetryPause = 50 * time.Millisecond

// Ledger reads and writes the accepted configurations on the platform.
type Ledger struct {
	// Store is the platform's table service and object store.
	Store platform.Store
	// Nonce returns a new unique id for one attempt.
	Nonce func() model.Nonce
	// Now returns the current time.
	Now func() time.Time
	// InForce returns the version in force on this host. It is newer than the row's after a restore of the store from an
	// older backup.
	InForce func() model.Version
}

// Conflict is the error of a change that expected another version than the accepted one.
type Conflict struct {
	Expected model.Version
	Current  rollout.Header // zero when there is no configuration yet
}

// Error returns a message with both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: expected version %d, but version %d by %s is accepted", c.Expected, c.Current.Version, c.Current.Author)
}

// Commit stores the document as the version after the expected one.
//
// It returns a *Conflict when another version is accepted, and a *model.Refusal with CodeOutcomeUnknown when it can't tell
// whether the document was accepted.
func (l *Ledger) Commit(ctx context.Context, expected model.Version, author config.Author, document config.Document) (header rollout.Header, err error) {
	defer annotate(&err, "commit configuration")
	state, err := l.readRow(ctx)
	if err != nil {
		return rollout.Header{}, markNotRun(err)
	}
	current := state.newest()
	if current.Version != expected && (current.Version > expected || l.InForce() != expected) {
		return rollout.Header{}, &Conflict{Expected: expected, Current: current}
	}
	header = l.newHeader(expected+1, author)
	value, err := l.storeObject(ctx, header, state.headers, document)
	if err != nil {
		return rollout.Header{}, markNotRun(err)
	}
	return l.commitRow(ctx, attempt{expected: expected, header: header, rowVersion: state.version, rowValue: value})
}

// attempt is one attempt to accept a configuration; commitRow may send it several times.
type attempt struct {
	expected   model.Version  // version of the configuration before the change
	header     rollout.Header // of the new configuration
	rowVersion model.Version  // version that the row must still have
	rowValue   string         // new value of the row
}

// newHeader returns the header of a new attempt.
func (l *Ledger) newHeader(version model.Version, author config.Author) rollout.Header {
	nonce := l.Nonce()
	return rollout.Header{Version: version, Nonce: nonce, Object: objectName(version, nonce), Author: author, Time: l.Now().UTC()}
}

// storeObject writes the new configuration's object and returns the row's new value. The object is not visible to anyone
// until the row names it.
func (l *Ledger) storeObject(ctx context.Context, header rollout.Header, headers []rollout.Header, document config.Document) (value string, err error) {
	entry := Entry{Header: header, Document: document}
	if len(headers) > 0 {
		entry.Previous = &headers[0]
	}
	text, err := encodeEntry(entry)
	if err != nil {
		return "", err
	}
	if err := l.Store.PutObject(ctx, header.Object, text); err != nil {
		return "", err
	}
	return encodeRow(header, headers)
}

// commitRow commits the row. It repeats the same attempt after an error until the table service answers or the context ends.
func (l *Ledger) commitRow(ctx context.Context, a attempt) (rollout.Header, error) {
	checks := []platform.Check{{Key: RowKey, Version: a.rowVersion}}
	puts := []platform.Put{{Key: RowKey, Value: a.rowValue}}
	uncertain := false
	for {
		commit, err := l.Store.Commit(ctx, checks, puts)
		if err == nil && commit.Committed {
			return a.header, nil
		}
		if err == nil {
			return a.resolve(commit.Rows)
		}
		uncertain = uncertain || !model.NotRun(err)
		if clock.Pause(ctx, commitRetryPause) == nil {
			continue
		}
		if uncertain {
			return rollout.Header{}, model.OutcomeUnknown("the platform does not answer: %v", err)
		}
		return rollout.Header{}, markNotRun(err)
	}
}

// resolve handles a failed check: the row names the nonce of this attempt if an earlier try, whose answer was lost, was
// committed; otherwise another attempt won.
func (a attempt) resolve(rows []platform.Row) (rollout.Header, error) {
	conflict := &Conflict{Expected: a.expected}
	for _, current := range rows {
		if current.Key != RowKey || current.Version == 0 {
			continue
		}
		headers, err := parseHeaders(current.Value)
		if err != nil {
			return rollout.Header{}, err
		}
		for _, accepted := range headers {
			if accepted.Nonce == a.header.Nonce {
				return a.header, nil
			}
		}
		conflict.Current = headers[0]
	}
	return rollout.Header{}, conflict
}

// Newest returns the header of the newest configuration, or a zero header when there is none yet.
func (l *Ledger) Newest(ctx context.Context) (header rollout.Header, err error) {
	defer annotate(&err, "read configuration's row")
	state, err := l.readRow(ctx)
	return state.newest(), err
}

// rowState is the content of the row.
type rowState struct {
	version model.Version    // of the row itself
	headers []rollout.Header // of the newest configurations, newest first
}

// newest returns the newest header, or a zero one.
func (s rowState) newest() rollout.Header {
	if len(s.headers) == 0 {
		return rollout.Header{}
	}
	return s.headers[0]
}

// readRow reads the row; a missing row yields a zero state.
func (l *Ledger) readRow(ctx context.Context) (rowState, error) {
	rows, _, err := l.Store.Rows(ctx, RowKey, 0)
	if err != nil {
		return rowState{}, err
	}
	for _, found := range rows {
		if found.Key == RowKey && found.Version > 0 {
			headers, err := parseHeaders(found.Value)
			return rowState{version: found.Version, headers: headers}, err
		}
	}
	return rowState{}, nil
}

// Load reads the configuration with the header.
func (l *Ledger) Load(ctx context.Context, header rollout.Header) (entry Entry, err error) {
	defer annotate(&err, fmt.Sprintf("load configuration %d", header.Version))
	text, err := l.Store.Object(ctx, header.Object)
	if err != nil {
		return Entry{}, err
	}
	return parseEntry(text, header)
}

// History returns the headers of the newest accepted configurations, at most limit, newest first.
func (l *Ledger) History(ctx context.Context, limit int) (headers []rollout.Header, err error) {
	defer annotate(&err, "read configuration's history")
	state, err := l.readRow(ctx)
	headers = state.headers
	if err != nil || len(headers) >= limit {
		return headers[:min(len(headers), limit)], err
	}
	for len(headers) > 0 && len(headers) < limit {
		entry, err := l.Load(ctx, headers[len(headers)-1])
		if err != nil {
			return nil, err
		}
		if entry.Previous == nil {
			break
		}
		headers = append(headers, *entry.Previous)
	}
	return headers, nil
}

// Version returns the accepted configuration with the version; version 0 is the built-in one.
func (l *Ledger) Version(ctx context.Context, version model.Version) (entry Entry, err error) {
	if version == 0 {
		return Entry{Document: config.Default()}, nil
	}
	defer annotate(&err, fmt.Sprintf("find configuration %d", version))
	state, err := l.readRow(ctx)
	if err != nil {
		return Entry{}, err
	}
	headers := state.headers
	for _, header := range headers {
		if header.Version == version {
			return l.Load(ctx, header)
		}
	}
	if len(headers) == 0 || version > headers[0].Version {
		return Entry{}, model.Refuse(model.CodeNotFound, "no configuration has version %d", version)
	}
	return l.findEarlier(ctx, headers[len(headers)-1], version)
}

// findEarlier follows the links to previous configurations back to the wanted version.
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

// markNotRun wraps an error that occurred before the row could change as a refusal that certainly had no effect.
func markNotRun(err error) error {
	if model.NotRun(err) {
		return err
	}
	return fmt.Errorf("%w: %w", model.Refuse(model.CodeUnavailable, "nothing was changed"), err)
}

// annotate prefixes a non-nil error with the failed operation.
func annotate(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}
