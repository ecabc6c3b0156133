package fleet

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// database is what the machine knows about one database.
type database struct {
	id                model.DatabaseID
	row               model.Ownership // version 0 if no row is known
	instances         map[model.InstanceID]*instance
	sortedIDs         []model.InstanceID // ids of the instances, sorted
	questionAt        time.Time          // time of the last question of another host about an instance
	rowChangedAt      time.Time          // time at which this host learned the current row
	ownerReturned     bool               // the current row is from an owner that this host judged dead
	losses            int                // times that another host took the database from this one; reset after long service
	ownerHint         OwnerUpdate        // newest known owner, used for routing only
	needSince         time.Time          // time at which this host first saw that the database needs another owner; zero if it does not
	commitRunning     bool               // a write of the row is running
	nextCommit        time.Time          // earliest time of the next write of the row
	commitSentAt      time.Time          // time at which the last write of the row was requested
	rowUncertain      bool               // the row has to be read before the next write
	pendingSwitchover *switchover        // switchover that begins with the running write
	plannedChange     bool               // the running write is a planned change by this owner
	nextPlannedChange time.Time          // earliest time of the next planned change
	leadership        leadership
	idle              bool // the database needed nothing from this host at the last check
	dirty             bool // an instance reported its state since the last view

	candidates        []model.HostID // hosts, most preferred owner first; valid for the epoch and primary below
	candidatesEpoch   int
	candidatesPrimary model.InstanceID

	preferred        model.HostID // first candidate; valid for the epoch and primary below
	preferredEpoch   int
	preferredPrimary model.InstanceID
}

// leadership is the owner's progress in the term of the row.
type leadership struct {
	term       model.Term
	fenced     map[model.InstanceID]model.InstanceState
	majorityAt time.Time        // time at which a majority was fenced
	chosen     model.InstanceID // instance to promote; never changes within a term
	promoted   bool
	following  map[model.InstanceID]bool // instances told to follow the chosen one
	serving    bool
	switchover *switchover
	superseded bool // an instance or a peer has a higher term
}

// switchover is a planned change of the primary in the term of the row.
type switchover struct {
	from       model.InstanceID
	to         model.InstanceID
	point      model.Point // end of the former primary's log
	pointKnown bool        // point is set
	ready      bool        // the next primary holds the point, or the wait has ended
}

// newDatabase returns a database without a row or instances.
func newDatabase(id model.DatabaseID) *database {
	return &database{id: id, instances: make(map[model.InstanceID]*instance)}
}

// newLeadership returns the leadership of a term that has just begun.
func newLeadership(term model.Term) leadership {
	return leadership{
		term:      term,
		fenced:    make(map[model.InstanceID]model.InstanceState),
		following: make(map[model.InstanceID]bool),
	}
}

// group returns the known instances of the row's group, whose majority decides.
func (d *database) group() []*instance {
	group := make([]*instance, 0, len(d.row.Instances))
	for _, id := range d.row.Instances {
		if known := d.instances[id]; known != nil {
			group = append(group, known)
		}
	}
	return group
}

// instanceIDs returns the ids of all known instances, sorted.
func (d *database) instanceIDs() []model.InstanceID {
	return d.sortedIDs
}

// addInstance adds or replaces an instance.
func (d *database) addInstance(item model.Instance) {
	d.instances[item.ID] = newInstance(item)
	d.sortedIDs = slices.Sorted(maps.Keys(d.instances))
}

// removeInstance removes an instance.
func (d *database) removeInstance(id model.InstanceID) {
	delete(d.instances, id)
	d.sortedIDs = slices.Sorted(maps.Keys(d.instances))
}

// majority returns the size of a majority of the group.
func (d *database) majority() int {
	return len(d.row.Instances)/2 + 1
}

// primary returns the chosen primary of the term, else the primary in the row, or nil if it is unknown.
func (d *database) primary() *instance {
	if d.leadership.term == d.row.Term && d.leadership.chosen != "" {
		return d.instances[d.leadership.chosen]
	}
	return d.instances[d.row.Primary]
}

// rowPrimary returns the primary in the row, or a zero value if it is unknown.
func (d *database) rowPrimary() model.Instance {
	if known := d.instances[d.row.Primary]; known != nil {
		return known.Instance
	}
	return model.Instance{}
}

// answeringCount returns the number of instances of the group that answer.
func (d *database) answeringCount() int {
	count := 0
	for _, member := range d.group() {
		if member.answers() {
			count++
		}
	}
	return count
}

// highestTerm returns the highest term of the row and the instances.
func (d *database) highestTerm() model.Term {
	term := d.row.Term
	for _, member := range d.instances {
		term = max(term, member.state.Term)
	}
	return term
}

// applyRow stores a row if it is newer than the known one, and reports whether it was.
func (d *database) applyRow(now time.Time, row model.Ownership) bool {
	if row.Version <= d.row.Version {
		return false
	}
	if row.Term != d.row.Term {
		d.leadership = newLeadership(row.Term)
		d.needSince = time.Time{}
	}
	d.row = row
	d.rowChangedAt = now
	return true
}
