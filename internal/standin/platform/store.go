package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"redwingspread/internal/model"
	store "redwingspread/internal/platform"
)

// core is the state of the service. Only the platform's goroutine accesses it.
type core struct {
	revision      model.Revision // counts the commits that wrote rows
	rows          map[model.RowKey]store.Row
	objects       map[model.ObjectName]string
	memberUpdates []memberUpdate // all updates of the member list, oldest first
}

// newCore returns the state of an empty service.
func newCore() *core {
	return &core{rows: map[model.RowKey]store.Row{}, objects: map[model.ObjectName]string{}}
}

// changedRows returns the rows with the prefix that changed after the revision, ordered by key.
func (c *core) changedRows(prefix model.RowKey, after model.Revision) []store.Row {
	var found []store.Row
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		row := c.rows[key]
		if strings.HasPrefix(string(key), string(prefix)) && row.Revision > after {
			found = append(found, row)
		}
	}
	return found
}

// commit writes all rows if every check passes. Otherwise it writes none and returns the current rows of the failed checks.
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

// put writes a row at the current revision of the table.
func (c *core) put(put store.Put) store.Row {
	row := c.rows[put.Key]
	row.Key = put.Key
	row.Value = put.Value
	row.Version++
	row.Revision = c.revision
	c.rows[put.Key] = row
	return row
}

// objectNames returns the names of the objects with the prefix in ascending order.
func (c *core) objectNames(prefix model.ObjectName) []model.ObjectName {
	var found []model.ObjectName
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		if strings.HasPrefix(string(name), string(prefix)) {
			found = append(found, name)
		}
	}
	return found
}

// memberUpdate is an added or replaced member and the time of the update.
type memberUpdate struct {
	at     time.Time
	member Member
}

// setMember adds or replaces a member.
func (c *core) setMember(at time.Time, member Member) {
	c.memberUpdates = append(c.memberUpdates, memberUpdate{at: at, member: member})
}

// members returns the list as it was at a time, ordered by when each member was first added.
func (c *core) members(at time.Time) []Member {
	var listed []Member
	for _, update := range c.memberUpdates {
		if update.at.After(at) {
			continue
		}
		index := slices.IndexFunc(listed, func(m Member) bool { return m.Role == update.member.Role && m.ID == update.member.ID })
		if index < 0 {
			listed = append(listed, update.member)
			continue
		}
		listed[index] = update.member
	}
	return listed
}
