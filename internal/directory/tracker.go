package directory

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Tracker builds directories from updates; it isn't safe for concurrent use.
//
// Updates may be late, duplicated or read from a stale replica of the store: anything older than the known state is ignored. What was
// read in a later era of the store is newer, whatever its revision: the store has come back from an older copy.
type Tracker struct {
	// Grace is how long an instance stays in use after its entry disappears, as entries that expire during an outage of the store
	// come back.
	Grace time.Duration

	current      *Directory
	completeTo   model.StorePosition            // of the store, which rises with changes elsewhere too
	missingSince map[model.InstanceID]time.Time // time at which the entry disappeared
}

// NewTracker returns an empty tracker; its exported fields have to be set before use.
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

// Directory returns the current directory; it is the same pointer until something changes.
func (t *Tracker) Directory() *Directory { return t.current }

// SetConfiguration applies a configuration if it is newer than the one in force, and reports whether it was.
func (t *Tracker) SetConfiguration(configuration Configuration) bool {
	if configuration.Version <= t.current.Version {
		return false
	}
	next := *t.current
	next.Version = configuration.Version
	next.TransactionIdleLimit = configuration.TransactionIdleLimit
	next.Kinds = make(map[model.KindID]model.Kind, len(configuration.Kinds))
	for _, kind := range configuration.Kinds {
		next.Kinds[kind.ID] = kind
	}
	next.Databases = make(map[model.DatabaseID]model.Database, len(configuration.Databases))
	for _, database := range configuration.Databases {
		next.Databases[database.ID] = database
	}
	next.Keyed = configuration.Keyed
	next.Tenants, next.Keys = indexTenants(configuration.Tenants)
	next.Weights = nil
	if next.Keyed {
		next.Weights = model.NewTenantWeights(next.Tenants)
	}
	t.current = &next
	return true
}

// indexTenants returns the tenants by ID and by key. A key that several tenants have identifies none of them. A tenant that is listed
// twice has all keys and the limits of the last entry.
func indexTenants(tenants []model.Tenant) (byID map[model.TenantID]model.Tenant, byKey map[model.KeyDigest]model.TenantID) {
	byID = make(map[model.TenantID]model.Tenant, len(tenants))
	byKey = make(map[model.KeyDigest]model.TenantID, len(tenants))
	shared := make(map[model.KeyDigest]bool)
	for _, tenant := range tenants {
		keys := tenant.Keys
		tenant.Keys = slices.Concat(byID[tenant.ID].Keys, keys)
		byID[tenant.ID] = tenant
		for _, key := range keys {
			if other, found := byKey[key]; found && other != tenant.ID {
				shared[key] = true
			}
			byKey[key] = tenant.ID
		}
	}
	for key := range shared {
		delete(byKey, key)
	}
	return byID, byKey
}

// Replace applies a full list of entries as of a position and reports whether anything changed; instances that aren't listed
// stay in use for the grace period only.
func (t *Tracker) Replace(now time.Time, position model.StorePosition, entries []Entry) bool {
	if t.completeTo.After(position) {
		return false
	}
	listed := make(map[model.InstanceID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = !entry.Removed
	}
	changed := t.Apply(now, position, entries)
	marked := false
	for id := range t.current.Instances {
		if !listed[id] {
			marked = t.markMissing(now, id) || marked
		}
	}
	if marked {
		next := *t.current
		next.Position = next.Position.Latest(position)
		next.Missing = t.missing()
		t.current = &next
	}
	return changed || marked
}

// Apply applies entries that changed up to a position, in the order of their changes, and reports whether anything changed; an
// entry may be removed and come back.
func (t *Tracker) Apply(now time.Time, position model.StorePosition, entries []Entry) (changed bool) {
	t.completeTo = t.completeTo.Latest(position)
	next := *t.current
	next.Instances = maps.Clone(t.current.Instances)
	for _, entry := range entries {
		known, found := next.Instances[entry.ID]
		if found && known.Position.After(entry.Position) {
			continue
		}
		next.Position = next.Position.Latest(entry.Position)
		if entry.Removed {
			changed = (found && t.markMissing(now, entry.ID)) || changed
			continue
		}
		if _, missing := t.missingSince[entry.ID]; missing || entry.Instance != known {
			changed = true
		}
		delete(t.missingSince, entry.ID)
		next.Instances[entry.ID] = entry.Instance
	}
	if changed || next.Position != t.current.Position {
		next.Missing = t.missing()
		t.current = &next
	}
	return changed
}

// Advance records that nothing has changed up to a position other than what the tracker knows.
func (t *Tracker) Advance(position model.StorePosition) {
	if !position.After(t.current.Position) {
		return
	}
	next := *t.current
	next.Position = position
	t.current = &next
}

// markMissing starts the grace period of an instance whose entry is missing, and reports false if it is running already.
func (t *Tracker) markMissing(now time.Time, id model.InstanceID) bool {
	if _, found := t.missingSince[id]; found {
		return false
	}
	t.missingSince[id] = now
	return true
}

// Expire removes the instances whose entries have been missing for the grace period and returns them.
func (t *Tracker) Expire(now time.Time) (dropped []model.InstanceID) {
	for id, since := range t.missingSince {
		if now.Sub(since) >= t.Grace {
			dropped = append(dropped, id)
		}
	}
	if len(dropped) == 0 {
		return nil
	}
	next := *t.current
	next.Instances = maps.Clone(t.current.Instances)
	for _, id := range dropped {
		delete(next.Instances, id)
		delete(t.missingSince, id)
	}
	next.Missing = t.missing()
	t.current = &next
	return dropped
}

// missing returns the instances in their grace periods.
func (t *Tracker) missing() map[model.InstanceID]bool {
	missing := make(map[model.InstanceID]bool, len(t.missingSince))
	for id := range t.missingSince {
		missing[id] = true
	}
	return missing
}

// Missing reports whether an instance is in its grace period, without an entry.
func (t *Tracker) Missing(id model.InstanceID) bool {
	_, missing := t.missingSince[id]
	return missing
}
