package runner

import (
	"context"

	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/ownership"
	"redwingspread/internal/platform"
	"redwingspread/internal/rollout"
)

// table returns the ownership rows.
func (r *Runner) table() *ownership.Table {
	return &ownership.Table{
		Store:        r.Store,
		OnUnreadable: func(key model.RowKey, err error) { event.RowUnreadable(r.Logger, key, err) },
	}
}

// readRows reads the changed rows.
func (r *Runner) readRows(ctx context.Context, action fleet.ReadRows) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	var result fleet.RowsRead
	table := r.table()
	table.OnOther = func(item platform.Row) { result.Header = r.head(item, result.Header) }
	result.Rows, result.Revision, result.Err = table.Changed(ctx, action.After)
	return result
}

// head returns the head of the configuration's row, or the one before for any other row.
func (r *Runner) head(item platform.Row, before *rollout.Header) *rollout.Header {
	if item.Key != ledger.RowKey {
		return before
	}
	head, err := ledger.ParseRow(item.Value)
	if err != nil {
		event.RowUnreadable(r.Logger, item.Key, err)
		return before
	}
	return &head
}

// commitRow writes one row by compare-and-set.
func (r *Runner) commitRow(ctx context.Context, action fleet.CommitRow) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	committed, now, err := r.table().Commit(ctx, action.Row)
	return fleet.RowCommitted{Database: action.Row.Database, Committed: committed, Row: now, Err: err}
}

// readMembers reads the platform's list.
func (r *Runner) readMembers(ctx context.Context, action fleet.ReadMembers) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	members, err := r.Store.Members(ctx)
	return fleet.MembersRead{Hosts: members.Hosts, Instances: members.Instances, Err: err}
}
