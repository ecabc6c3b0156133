package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// handleMembersRead processes the platform's list.
func (m *Machine) handleMembersRead(now time.Time, event MembersRead) []Action {
	m.listPoll.finish(now, 2*m.Timing.PollIntervalFor(m.members.Size()), event.Err)
	if event.Err != nil {
		return nil
	}
	m.applyList(now, event.Hosts, event.Instances)
	return m.tick(now)
}

// applyList applies a list of hosts and instances.
func (m *Machine) applyList(now time.Time, hosts []model.Host, instances []model.Instance) {
	m.listLoaded = true
	m.dirty = true
	m.members.ApplyList(now, hosts)
	m.applyInstances(instances)
}

// requestFleet asks a peer for the fleet when the rows could not be read and no peer has provided them yet.
func (m *Machine) requestFleet() []Action {
	if m.rowsLoaded || m.seedPeer.ID == "" {
		return nil
	}
	return []Action{ReadFleet{Host: m.seedPeer}}
}

// handleFleetRead applies a peer's answer. It may be out of date, which is safe since every write checks the row's version.
func (m *Machine) handleFleetRead(now time.Time, event FleetRead) []Action {
	if event.Err != nil || m.rowsLoaded {
		return nil
	}
	if !m.listLoaded {
		m.applyList(now, event.Fleet.Hosts, event.Fleet.Instances)
	}
	m.rowsLoaded = true
	m.log(LogEntry{Kind: LogFleetLearned, Host: event.Host})
	for _, row := range event.Fleet.Rows {
		m.applyRow(now, row)
	}
	return m.tick(now)
}

// knownFleet returns the hosts, instances and ownership rows that this host knows.
func (m *Machine) knownFleet() Fleet {
	fleet := Fleet{Revision: m.revision, Hosts: append(m.members.Listed(), m.Self)}
	for _, id := range m.databaseIDs {
		d := m.databases[id]
		for _, instance := range d.instanceIDs() {
			fleet.Instances = append(fleet.Instances, d.instances[instance].Instance)
		}
		if d.row.Version > 0 {
			fleet.Rows = append(fleet.Rows, d.row)
		}
	}
	return fleet
}

// applyInstances applies the instances of the platform's list. An unlisted instance stays while a row's group contains it.
func (m *Machine) applyInstances(items []model.Instance) {
	listed := make(map[model.InstanceID]bool, len(items))
	for _, item := range items {
		listed[item.ID] = true
		d := m.ensureDatabase(item.Database)
		m.databaseByInstance[item.ID] = d
		if known := d.instances[item.ID]; known != nil {
			known.Instance = item
			known.unlisted = false
		} else {
			d.addInstance(item)
		}
	}
	for id, d := range m.databaseByInstance {
		if listed[id] {
			continue
		}
		d.instances[id].unlisted = true
		if !slices.Contains(d.row.Instances, id) {
			d.removeInstance(id)
			delete(m.databaseByInstance, id)
		}
	}
}
