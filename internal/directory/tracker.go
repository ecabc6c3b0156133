package directory

import (
	"maps"
	"time"

	"redwingspread/internal/model"
)

// Tracker gathers news into directories; it is used by one goroutine.
//
// News may come late, twice, and from a store whose reads are stale: what is older than the known state changes nothing.
type Tracker struct {
	// Grace is how long an instance without an entry is still used: entries that lapsed with the store come back.
	Grace time.Duration

	current      *Directory
	missingSince map[model.InstanceID]time.Time // when the entry was first missed
}

// NewTracker returns an empty book whose exported fields are to be set before its use.
func NewTracker() *Tracker {
	return &Tracker{
		current: &Directory{
			Kinds:     make(map[model.KindID]model.Kind),
			Databases: make(map[model.DatabaseID]model.Database),
			Instances: make(map[model.InstanceID]Instance),
		},
		missingSince: make(map[model.InstanceID]time.Time),
	}
}

// Directory returns the state of now, the same one while nothing changes.
func (b *Tracker) Directory() *Directory { return b.current }

// SetConfiguration takes a configuration and reports whether it is newer than the one in force.
func (b *Tracker) SetConfiguration(c Configuration) bool {
	if c.Version <= b.current.Version {
		return false
	}
	next := *b.current
	next.Version = c.Version
	next.TransactionIdleLimit = c.TransactionIdleLimit
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
func (b *Tracker) Replace(now time.Time, revision model.Revision, entries []Entry) bool {
	if revision < b.current.Revision {
		return false
	}
	listed := make(map[model.InstanceID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = !entry.Removed
	}
	changed := b.Apply(now, revision, entries)
	for id := range b.current.Instances {
		if !listed[id] {
			changed = b.markMissing(now, id) || changed
		}
	}
	return changed
}

// Apply takes entries that changed up to a revision, in the order of their changes: an entry may go and come back.
func (b *Tracker) Apply(now time.Time, revision model.Revision, entries []Entry) (changed bool) {
	next := *b.current
	next.Revision = max(next.Revision, revision)
	next.Instances = maps.Clone(b.current.Instances)
	for _, entry := range entries {
		known, found := next.Instances[entry.ID]
		if found && entry.Revision < known.Revision {
			continue
		}
		if entry.Removed {
			changed = (found && b.markMissing(now, entry.ID)) || changed
			continue
		}
		if _, missed := b.missingSince[entry.ID]; missed || entry.Instance != known {
			changed = true
		}
		delete(b.missingSince, entry.ID)
		next.Instances[entry.ID] = entry.Instance
	}
	if changed || next.Revision != b.current.Revision {
		b.current = &next
	}
	return changed
}

// markMissing notes that an instance's entry is missing.
func (b *Tracker) markMissing(now time.Time, id model.InstanceID) bool {
	if _, found := b.missingSince[id]; found {
		return false
	}
	b.missingSince[id] = now
	return true
}

// Expire drops the instances that were missing for the grace time and returns them.
func (b *Tracker) Expire(now time.Time) (dropped []model.InstanceID) {
	for id, since := range b.missingSince {
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
		delete(b.missingSince, id)
	}
	b.current = &next
	return dropped
}

// Missing reports whether an instance's entry is missing.
func (b *Tracker) Missing(id model.InstanceID) bool {
	_, missing := b.missingSince[id]
	return missing
}
