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

// rowTable returns the table of ownership rows. It logs the rows that it cannot read.
func (r *Runner) rowTable() *ownership.Table {
	return &ownership.Table{
		Store:        r.Store,
		OnUnreadable: func(key model.RowKey, err error) { event.RowUnreadable(r.Logger, key, err) },
	}
}

// readRows reads the ownership rows and the configuration header that changed after a revision.
func (r *Runner) readRows(ctx context.Context, action fleet.ReadRows) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	var result fleet.RowsRead
	table := r.rowTable()
	table.OnOther = func(row platform.Row) { result.Header = r.parseHeader(row, result.Header) }
	result.Rows, result.Revision, result.Err = table.Changed(ctx, action.After)
	return result
}

// parseHeader returns the header in the configuration row; for any other or an unreadable row, it returns the previous header.
func (r *Runner) parseHeader(row platform.Row, previous *rollout.Header) *rollout.Header {
	if row.Key != ledger.RowKey {
		return previous
	}
	header, err := ledger.ParseRow(row.Value)
	if err != nil {
		event.RowUnreadable(r.Logger, row.Key, err)
		return previous
	}
	return &header
}

// commitRow writes one ownership row by compare-and-set.
func (r *Runner) commitRow(ctx context.Context, action fleet.CommitRow) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	committed, current, err := r.rowTable().Commit(ctx, action.Row)
	return fleet.RowCommitted{Database: action.Row.Database, Committed: committed, Row: current, Err: err}
}

// readMembers reads the platform's member list.
func (r *Runner) readMembers(ctx context.Context, action fleet.ReadMembers) fleet.Event {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	members, err := r.Store.Members(ctx)
	return fleet.MembersRead{Hosts: members.Hosts, Instances: members.Instances, Err: err}
}
