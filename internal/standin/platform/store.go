package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"redwingspread/internal/model"
	store "redwingspread/internal/platform"
)

// core is the state of the service; the platform's goroutine alone reaches it.
type core struct {
	revision model.Revision
	rows     map[model.RowKey]store.Row
	objects  map[model.ObjectName]string
	changes  []memberChange
}

// newCore returns an empty service.
func newCore() *core {
	return &core{rows: map[model.RowKey]store.Row{}, objects: map[model.ObjectName]string{}}
}

// list returns the rows with the prefix that changed after the revision, in the order of their keys.
func (c *core) list(prefix model.RowKey, after model.Revision) []store.Row {
	var found []store.Row
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		row := c.rows[key]
		if strings.HasPrefix(string(key), string(prefix)) && row.Revision > after {
			found = append(found, row)
		}
	}
	return found
}

// commit writes all rows when every check holds, or returns the current rows of the checks that failed.
func (c *core) commit(checks []store.Check, puts []store.Put) store.CommitResult {
	var failed []store.Row
	for _, check := range checks {
		row := c.rows[check.Key]
		row.Key = check.Key
		if row.Version != check.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return store.CommitResult{Rows: failed}
	}
	if len(puts) > 0 {
		c.revision++
	}
	written := make([]store.Row, 0, len(puts))
	for _, put := range puts {
		written = append(written, c.put(put))
	}
	return store.CommitResult{Committed: true, Rows: written}
}

// put writes one row at the table's revision.
func (c *core) put(put store.Put) store.Row {
	row := c.rows[put.Key]
	row.Key = put.Key
	row.Value = put.Value
	row.Version++
	row.Revision = c.revision
	c.rows[put.Key] = row
	return row
}

// names returns the names of the objects with the prefix, in order.
func (c *core) names(prefix model.ObjectName) []model.ObjectName {
	var found []model.ObjectName
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		if strings.HasPrefix(string(name), string(prefix)) {
			found = append(found, name)
		}
	}
	return found
}

// memberChange is one change of the list, which shows after the list's lag.
type memberChange struct {
	at     time.Time
	member Member
}

// set adds or replaces a member.
func (c *core) set(at time.Time, member Member) {
	c.changes = append(c.changes, memberChange{at: at, member: member})
}

// members returns the list as it was at a time, in the order in which members were first added.
func (c *core) members(at time.Time) []Member {
	var listed []Member
	for _, change := range c.changes {
		if change.at.After(at) {
			continue
		}
		known := slices.IndexFunc(listed, func(m Member) bool { return m.Role == change.member.Role && m.ID == change.member.ID })
		if known < 0 {
			listed = append(listed, change.member)
			continue
		}
		listed[known] = change.member
	}
	return listed
}
