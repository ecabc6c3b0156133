package ownership

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/platform"
)

// fakeStore returns fixed rows and a fixed answer to commits.
type fakeStore struct {
	platform.Store
	rows   []platform.Row
	commit platform.CommitResult
	err    error
	puts   []platform.Put
}

func (s *fakeStore) Rows(context.Context, model.RowKey, model.Revision) ([]platform.Row, model.Revision, error) {
	return s.rows, 7, s.err
}

func (s *fakeStore) Commit(_ context.Context, _ []platform.Check, puts []platform.Put) (platform.CommitResult, error) {
	s.puts = puts
	return s.commit, s.err
}

// sample is an ownership row with all fields set.
var sample = model.Ownership{
	Database:    "d1",
	Owner:       "h1",
	Incarnation: 5,
	Term:        3,
	Primary:     "i1",
	Instances:   []model.InstanceID{"i1", "i2", "i3"},
	Timeline:    model.Timeline{{Term: 1}, {Term: 3, Position: 40}},
	Nonce:       "n",
	Version:     4,
}

// stored returns the sample as a row of the table with the key.
func stored(t *testing.T, key model.RowKey) platform.Row {
	t.Helper()
	text, err := Encode(sample)
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	return platform.Row{Key: key, Version: sample.Version, Value: text}
}

func TestGet(t *testing.T) {
	down := errors.New("down")
	tests := map[string]struct {
		rows []platform.Row
		err  error
		want model.Ownership
		fail bool
	}{
		"found":                        {rows: []platform.Row{stored(t, "owner/d1")}, want: sample},
		"only a row with a longer key": {rows: []platform.Row{stored(t, "owner/d10")}, want: model.Ownership{Database: "d1"}},
		"missing":                      {want: model.Ownership{Database: "d1"}},
		"store unavailable":            {err: down, fail: true},
		"invalid JSON":                 {rows: []platform.Row{{Key: "owner/d1", Value: "x"}}, fail: true},
		"required fields missing":      {rows: []platform.Row{{Key: "owner/d1", Value: `{"owner":"h1"}`}}, fail: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{Store: &fakeStore{rows: test.rows, err: test.err}}
			got, err := table.Get(t.Context(), "d1")
			if (err != nil) != test.fail {
				t.Fatalf("got error %v, want an error %v", err, test.fail)
			}
			if err == nil && !reflect.DeepEqual(got, test.want) {
				t.Errorf("got row %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestChangedSkipsUnreadableRows(t *testing.T) {
	var unreadable, other []model.RowKey
	table := &Table{
		Store:        &fakeStore{rows: []platform.Row{{Key: "owner/d0", Value: "x"}, {Key: "configuration"}, stored(t, "owner/d1"), {Key: "owner/"}}},
		OnUnreadable: func(key model.RowKey, _ error) { unreadable = append(unreadable, key) },
		OnOther:      func(item platform.Row) { other = append(other, item.Key) },
	}
	rows, revision, err := table.Changed(t.Context(), 0)
	if err != nil || revision != 7 {
		t.Fatalf("got revision %d and error %v, want 7 and none", revision, err)
	}
	if len(rows) != 1 || !reflect.DeepEqual(rows[0], sample) {
		t.Errorf("got rows %+v, want only %+v", rows, sample)
	}
	if want := []model.RowKey{"configuration"}; !reflect.DeepEqual(other, want) {
		t.Errorf("got other rows %v, want %v", other, want)
	}
	if want := []model.RowKey{"owner/d0", "owner/"}; !reflect.DeepEqual(unreadable, want) {
		t.Errorf("got unreadable rows %v, want %v", unreadable, want)
	}
}

func TestCommit(t *testing.T) {
	tests := map[string]struct {
		commit    platform.CommitResult
		err       error
		committed bool
		current   model.Ownership
		fail      bool
	}{
		"committed":        {commit: platform.CommitResult{Committed: true, Rows: []platform.Row{stored(t, "owner/d1")}}, committed: true, current: sample},
		"version conflict": {commit: platform.CommitResult{Rows: []platform.Row{stored(t, "owner/d1")}}, current: sample},
		"row missing":      {commit: platform.CommitResult{}, current: model.Ownership{Database: "d1"}},
		"answer lost":      {err: errors.New("lost"), fail: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{Store: &fakeStore{commit: test.commit, err: test.err}}
			committed, current, err := table.Commit(t.Context(), sample)
			if (err != nil) != test.fail || committed != test.committed {
				t.Fatalf("got committed %v and error %v, want %v and an error %v", committed, err, test.committed, test.fail)
			}
			if err == nil && !reflect.DeepEqual(current, test.current) {
				t.Errorf("got row %+v, want %+v", current, test.current)
			}
		})
	}
}
