package directory

import (
	"maps"
	"time"

	"redwingspread/internal/model"
)

// Book gathers news into directories; it is used by one goroutine.
//
// News may come late, twice, and from a store whose reads are stale: what is older than the known state changes nothing.
type Book struct {
	// Grace is how long an instance without an entry is still used: entries that lapsed with the store come back.
	Grace time.Duration

	current *Directory
	missing map[model.InstanceID]time.Time // when the entry was first missed
}

// New returns an empty book whose exported fields are to be set before its use.
func New() *Book {
	return &Book{
		current: &Directory{
			Kinds:     make(map[model.KindID]model.Kind),
			Databases: make(map[model.DatabaseID]model.Database),
			Instances: make(map[model.InstanceID]Instance),
		},
		missing: make(map[model.InstanceID]time.Time),
	}
}

// Directory returns the state of now, the same one while nothing changes.
func (b *Book) Directory() *Directory { return b.current }

// Configure takes a configuration and reports whether it is newer than the one in force.
func (b *Book) Configure(c Configuration) bool {
	if c.Version <= b.current.Version {
		return false
	}
	next := *b.current
	next.Version = c.Version
	next.Idle = c.Idle
	next.Kinds = make(map[model.KindID]model.Kind, len(c.Kinds))
	for _, kind := range c.Kinds {
		next.Kinds[kind.ID] = kind
	}
	next.Databases = make(map[model.DatabaseID]model.Database, len(c.Databases))
	for _, database := range c.Databases {
		next.Databases[database.ID] = database
	}
	b.current = &next
	return true
}

// Replace takes all entries as of a revision; instances without one are used for the grace time only.
func (b *Book) Replace(now time.Time, revision model.Revision, entries []Entry) bool {
	if revision < b.current.Revision {
		return false
	}
	listed := make(map[model.InstanceID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = !entry.Gone
	}
	changed := b.Change(now, revision, entries)
	for id := range b.current.Instances {
		if !listed[id] {
			changed = b.miss(now, id) || changed
		}
	}
	return changed
}

// Change takes entries that changed up to a revision, in the order of their changes: an entry may go and come back.
func (b *Book) Change(now time.Time, revision model.Revision, entries []Entry) (changed bool) {
	next := *b.current
	next.Revision = max(next.Revision, revision)
	next.Instances = maps.Clone(b.current.Instances)
	for _, entry := range entries {
		known, found := next.Instances[entry.ID]
		if found && entry.Revision < known.Revision {
			continue
		}
		if entry.Gone {
			changed = (found && b.miss(now, entry.ID)) || changed
			continue
		}
		if _, missed := b.missing[entry.ID]; missed || entry.Instance != known {
			changed = true
		}
		delete(b.missing, entry.ID)
		next.Instances[entry.ID] = entry.Instance
	}
	if changed || next.Revision != b.current.Revision {
		b.current = &next
	}
	return changed
}

// miss notes that an instance's entry is missing.
func (b *Book) miss(now time.Time, id model.InstanceID) bool {
	if _, found := b.missing[id]; found {
		return false
	}
	b.missing[id] = now
	return true
}

// Expire drops the instances that were missing for the grace time and returns them.
func (b *Book) Expire(now time.Time) (dropped []model.InstanceID) {
	for id, since := range b.missing {
		if now.Sub(since) >= b.Grace {
			dropped = append(dropped, id)
		}
	}
	if len(dropped) == 0 {
		return nil
	}
	next := *b.current
	next.Instances = maps.Clone(b.current.Instances)
	for _, id := range dropped {
		delete(next.Instances, id)
		delete(b.missing, id)
	}
	b.current = &next
	return dropped
}

// Missing reports whether an instance's entry is missing.
func (b *Book) Missing(id model.InstanceID) bool {
	_, missing := b.missing[id]
	return missing
}
