package fleet

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// database is what the machine knows of one database.
type database struct {
	id                model.DatabaseID
	row               model.Ownership // version 0 when no row is known
	instances         map[model.InstanceID]*instance
	sortedIDs         []model.InstanceID // ids of the instances, in order
	askedAt           time.Time          // last question of another host about an instance
	rowChangedAt      time.Time          // when the row's last change was learnt
	ownerReturned     bool               // the owner changed the row after this host held it for dead
	losses            int                // times in turn that another host took the database from this one
	ownerHint         OwnerUpdate        // newest news of an owner, for routing
	needSince         time.Time          // when this host first saw that the database needs another owner
	commitRunning     bool               // a change of the row is under way
	nextCommit        time.Time          // no change of the row before then
	commitSentAt      time.Time          // when the change was sent
	rowUncertain      bool               // the row must be read before it is changed again
	pendingSwitchover *switchover        // switchover that the change under way begins
	plannedChange     bool               // the change under way is this owner's own wish
	nextPlannedChange time.Time          // no planned change before then
	leadership        leadership
	idle              bool // it needed nothing of this host at the last look
	dirty             bool // an instance told its state since the last view

	candidates        []model.HostID // order of candidates, for the epoch and the primary below
	candidatesEpoch   int
	candidatesPrimary model.InstanceID

	preferred        model.HostID // first of the candidates, for the epoch and the primary below
	preferredEpoch   int
	preferredPrimary model.InstanceID
}

// leadership is what an owner has done in the term of its row.
type leadership struct {
	term       model.Term
	fenced     map[model.InstanceID]model.InstanceState
	majorityAt time.Time        // when a majority was fenced
	chosen     model.InstanceID // instance to promote; never changed within a term
	promoted   bool
	following  map[model.InstanceID]bool // told to follow the chosen one
	serving    bool
	switchover *switchover
	superseded bool // an instance or a peer knows a higher term
}

// switchover is a planned switchover in the term of the row.
type switchover struct {
	from       model.InstanceID
	to         model.InstanceID
	point      model.Point // end of the former primary's log
	pointKnown bool        // the point is known
	ready      bool        // the next primary holds the point, or the wait is over
}

// newDatabase returns a database without row and instances.
func newDatabase(id model.DatabaseID) *database {
	return &database{id: id, instances: make(map[model.InstanceID]*instance)}
}

// newLeadership returns the empty leadership of a term.
func newLeadership(term model.Term) leadership {
	return leadership{
		term:      term,
		fenced:    make(map[model.InstanceID]model.InstanceState),
		following: make(map[model.InstanceID]bool),
	}
}

// group returns the instances whose majority decides: those of the row.
func (d *database) group() []*instance {
	group := make([]*instance, 0, len(d.row.Instances))
	for _, id := range d.row.Instances {
		if known := d.instances[id]; known != nil {
			group = append(group, known)
		}
	}
	return group
}

// instanceIDs returns the ids of all known instances in order.
func (d *database) instanceIDs() []model.InstanceID {
	return d.sortedIDs
}

// addInstance adds an instance.
func (d *database) addInstance(item model.Instance) {
	d.instances[item.ID] = newInstance(item)
	d.sortedIDs = slices.Sorted(maps.Keys(d.instances))
}

// removeInstance forgets an instance.
func (d *database) removeInstance(id model.InstanceID) {
	delete(d.instances, id)
	d.sortedIDs = slices.Sorted(maps.Keys(d.instances))
}

// majority returns the number of instances that any two majorities of the group share one of.
func (d *database) majority() int {
	return len(d.row.Instances)/2 + 1
}

// primary returns the instance that is or becomes primary in the term, or nil.
func (d *database) primary() *instance {
	if d.leadership.term == d.row.Term && d.leadership.chosen != "" {
		return d.instances[d.leadership.chosen]
	}
	return d.instances[d.row.Primary]
}

// rowPrimary returns where the row's primary is, or nothing when it is not known.
func (d *database) rowPrimary() model.Instance {
	if known := d.instances[d.row.Primary]; known != nil {
		return known.Instance
	}
	return model.Instance{}
}

// answeringCount counts the group's instances that answer.
func (d *database) answeringCount() int {
	count := 0
	for _, member := range d.group() {
		if member.answers() {
			count++
		}
	}
	return count
}

// highestTerm returns the highest term that the row or an instance has.
func (d *database) highestTerm() model.Term {
	term := d.row.Term
	for _, member := range d.instances {
		term = max(term, member.state.Term)
	}
	return term
}

// applyRow takes a row unless a newer one is known, and reports whether it was new.
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
