package directory

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// entry returns a change of an instance's entry at a revision.
func entry(id model.InstanceID, revision model.Revision, removed bool) Entry {
	return Entry{Instance: Instance{Instance: model.Instance{ID: id, Database: "seats"}, Position: model.StorePosition{Revision: revision}}, Removed: removed}
}

// update is one call of Apply, or of Replace when full is set.
type update struct {
	at       time.Duration
	full     bool
	era      model.Era // of the revision and the entries
	revision model.Revision
	entries  []Entry
}

func TestTrackerKeepsInstances(t *testing.T) {
	const grace = 3 * time.Second
	tests := map[string]struct {
		updates []update
		at      time.Duration // time of the check
		want    []model.InstanceID
	}{
		"entry appears":                        {updates: []update{{revision: 3, entries: []Entry{entry("a", 3, false)}}}, want: []model.InstanceID{"a"}},
		"removed, within the grace period":     {updates: []update{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}}, at: 3 * time.Second, want: []model.InstanceID{"a"}},
		"removed, after the grace period":      {updates: []update{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}}, at: 5 * time.Second},
		"removed and back in one update":       {updates: []update{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 22, entries: []Entry{entry("a", 19, true), entry("a", 22, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"back within the grace period":         {updates: []update{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}, {at: 2 * time.Second, revision: 5, entries: []Entry{entry("a", 5, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"late removal of an older entry":       {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, revision: 9, entries: []Entry{entry("a", 4, true)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"stale full list is ignored":           {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, full: true, revision: 5}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"newer full list without the instance": {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, full: true, revision: 10}}, at: 20 * time.Second},
		"unreadable entry in a full list":      {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, full: true, revision: 10, entries: []Entry{entry("a", 10, true)}}}, at: 20 * time.Second},
		"newer full list with the instance":    {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, full: true, revision: 10, entries: []Entry{entry("a", 9, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"back from an older copy": {
			updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {era: 1, full: true, revision: 5, entries: []Entry{entry("a", 4, false), entry("b", 5, false)}}, {revision: 10, full: true}},
			at:      20 * time.Second, want: []model.InstanceID{"a", "b"},
		},
		"removed after the store is back from an older copy": {
			updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {era: 1, full: true, revision: 5, entries: []Entry{entry("a", 4, false)}}, {era: 1, revision: 6, entries: []Entry{entry("a", 6, true)}}},
			at:      20 * time.Second,
		},
		"missing in an older copy and written again": {
			updates: []update{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {era: 1, full: true, revision: 5}, {at: 2 * time.Second, era: 1, revision: 6, entries: []Entry{entry("a", 6, false)}}},
			at:      20 * time.Second, want: []model.InstanceID{"a"},
		},
		"removal of an unknown instance": {updates: []update{{revision: 9, entries: []Entry{entry("a", 9, true)}}}, at: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.Grace = grace
			start := time.Unix(0, 0)
			for _, u := range test.updates {
				for i := range u.entries {
					u.entries[i].Position.Era = u.era
				}
				position := model.StorePosition{Era: u.era, Revision: u.revision}
				if u.full {
					tracker.Replace(start.Add(u.at), position, u.entries)
				} else {
					tracker.Apply(start.Add(u.at), position, u.entries)
				}
			}
			tracker.Expire(start.Add(test.at))
			got := tracker.Directory().Instances
			if len(got) != len(test.want) {
				t.Fatalf("got instances %v, want %v", got, test.want)
			}
			for _, id := range test.want {
				if _, found := got[id]; !found {
					t.Errorf("got instances %v, want %s among them", got, id)
				}
			}
		})
	}
}

func TestTrackerIgnoresOlderConfigurations(t *testing.T) {
	tracker := NewTracker()
	kinds := func(names ...model.KindID) (kinds []model.Kind) {
		for _, name := range names {
			kinds = append(kinds, model.Kind{ID: name})
		}
		return kinds
	}
	tests := map[string]struct {
		version model.Version
		kinds   []model.Kind
		want    bool
	}{
		"1 first":        {version: 7, kinds: kinds("a"), want: true},
		"2 newer":        {version: 9, kinds: kinds("a", "b"), want: true},
		"3 older":        {version: 8, kinds: kinds("a"), want: false},
		"4 same version": {version: 9, kinds: kinds("a"), want: false},
	}
	for _, name := range []string{"1 first", "2 newer", "3 older", "4 same version"} {
		test := tests[name]
		if got := tracker.SetConfiguration(Configuration{Version: test.version, Kinds: test.kinds}); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	if got := tracker.Directory(); got.Version != 9 || len(got.Kinds) != 2 {
		t.Errorf("got version %d with %d kinds, want 9 with 2", got.Version, len(got.Kinds))
	}
}
