package ownership

import (
	"context"
	"fmt"
	"strings"

	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// Table accesses the ownership rows in the table service. Set its exported fields before use.
type Table struct {
	// Store is the platform's table service and object store.
	Store platform.Store
	// OnUnreadable is called for each row that is skipped because it can't be decoded; it may be nil.
	OnUnreadable func(key model.RowKey, err error)
	// OnOther is called for each changed row that is no ownership row, so that one read serves all kinds; it may be nil.
	OnOther func(platform.Row)
}

// Changed returns the ownership rows that changed after the revision, and the table's current revision.
func (t *Table) Changed(ctx context.Context, after model.Revision) (rows []model.Ownership, revision model.Revision, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read ownership rows: %w", err)
		}
	}()
	stored, revision, err := t.Store.Rows(ctx, allRows, after)
	if err != nil {
		return nil, 0, err
	}
	for _, item := range stored {
		if !strings.HasPrefix(string(item.Key), string(Prefix)) {
			t.notifyOther(item)
			continue
		}
		row, err := Decode(item)
		if err != nil {
			t.notifyUnreadable(item.Key, err)
			continue
		}
		rows = append(rows, row)
	}
	return rows, revision, nil
}

// notifyOther calls OnOther if set.
func (t *Table) notifyOther(item platform.Row) {
	if t.OnOther != nil {
		t.OnOther(item)
	}
}

// notifyUnreadable calls OnUnreadable if set.
func (t *Table) notifyUnreadable(key model.RowKey, err error) {
	if t.OnUnreadable != nil {
		t.OnUnreadable(key, err)
	}
}

// Get returns the current row of the database; its version is 0 when there is none.
func (t *Table) Get(ctx context.Context, database model.DatabaseID) (row model.Ownership, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read the row of database %s: %w", database, err)
		}
	}()
	key := Key(database)
	stored, _, err := t.Store.Rows(ctx, key, 0)
	if err != nil {
		return model.Ownership{}, err
	}
	for _, item := range stored {
		if item.Key == key {
			return Decode(item)
		}
	}
	return model.Ownership{Database: database}, nil
}

// Commit writes the row if its version is still the one in the table. It returns whether it did, and the row that the table
// then holds.
func (t *Table) Commit(ctx context.Context, row model.Ownership) (committed bool, current model.Ownership, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("change the row of database %s: %w", row.Database, err)
		}
	}()
	key := Key(row.Database)
	text, err := Encode(row)
	if err != nil {
		return false, model.Ownership{}, err
	}
	checks := []platform.Check{{Key: key, Version: row.Version}}
	commit, err := t.Store.Commit(ctx, checks, []platform.Put{{Key: key, Value: text}})
	if err != nil {
		return false, model.Ownership{}, err
	}
	for _, item := range commit.Rows {
		if item.Key == key && item.Version > 0 {
			current, err = Decode(item)
			return commit.Committed, current, err
		}
	}
	return commit.Committed, model.Ownership{Database: row.Database}, nil
}
