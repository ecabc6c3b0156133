package directory

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// entry returns an entry of the instance at a revision.
func entry(id model.InstanceID, revision model.Revision, gone bool) Entry {
	return Entry{Instance: Instance{Instance: model.Instance{ID: id, Database: "seats"}, Revision: revision}, Removed: gone}
}

// step is one piece of news.
type step struct {
	at       time.Duration
	whole    bool
	revision model.Revision
	entries  []Entry
}

func TestBookKeepsInstances(t *testing.T) {
	const grace = 3 * time.Second
	tests := map[string]struct {
		steps []step
		at    time.Duration // of the look
		want  []model.InstanceID
	}{
		"appears":                         {steps: []step{{revision: 3, entries: []Entry{entry("a", 3, false)}}}, want: []model.InstanceID{"a"}},
		"gone, within the grace":          {steps: []step{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}}, at: 3 * time.Second, want: []model.InstanceID{"a"}},
		"gone for longer":                 {steps: []step{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}}, at: 5 * time.Second},
		"gone and back in one answer":     {steps: []step{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 22, entries: []Entry{entry("a", 19, true), entry("a", 22, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"back within the grace":           {steps: []step{{revision: 3, entries: []Entry{entry("a", 3, false)}}, {at: time.Second, revision: 4, entries: []Entry{entry("a", 4, true)}}, {at: 2 * time.Second, revision: 5, entries: []Entry{entry("a", 5, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"late removal of an older entry":  {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, revision: 9, entries: []Entry{entry("a", 4, true)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"a stale list changes nothing":    {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, whole: true, revision: 5}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"a newer list without it":         {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, whole: true, revision: 10}}, at: 20 * time.Second},
		"an unreadable entry in a list":   {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, whole: true, revision: 10, entries: []Entry{entry("a", 10, true)}}}, at: 20 * time.Second},
		"a list with it keeps it":         {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, false)}}, {at: time.Second, whole: true, revision: 10, entries: []Entry{entry("a", 9, false)}}}, at: 20 * time.Second, want: []model.InstanceID{"a"}},
		"removal of what was never known": {steps: []step{{revision: 9, entries: []Entry{entry("a", 9, true)}}}, at: 20 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			book := NewTracker()
			book.Grace = grace
			start := time.Unix(0, 0)
			for _, s := range test.steps {
				if s.whole {
					book.Replace(start.Add(s.at), s.revision, s.entries)
				} else {
					book.Apply(start.Add(s.at), s.revision, s.entries)
				}
			}
			book.Expire(start.Add(test.at))
			got := book.Directory().Instances
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

func TestBookNeverGoesBack(t *testing.T) {
	book := NewTracker()
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
		"1 first":          {version: 7, kinds: kinds("a"), want: true},
		"2 newer":          {version: 9, kinds: kinds("a", "b"), want: true},
		"3 older":          {version: 8, kinds: kinds("a"), want: false},
		"4 the same again": {version: 9, kinds: kinds("a"), want: false},
	}
	for _, name := range []string{"1 first", "2 newer", "3 older", "4 the same again"} {
		test := tests[name]
		if got := book.SetConfiguration(Configuration{Version: test.version, Kinds: test.kinds}); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	if got := book.Directory(); got.Version != 9 || len(got.Kinds) != 2 {
		t.Errorf("got version %d with %d kinds, want 9 with 2", got.Version, len(got.Kinds))
	}
}
