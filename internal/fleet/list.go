package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// membersRead takes the platform's list.
func (m *Machine) membersRead(now time.Time, event MembersRead) []Action {
	m.list.end(now, 2*m.Timing.Poll(m.members.Size()), event.Err)
	if event.Err != nil {
		return nil
	}
	m.takeList(now, event.Hosts, event.Instances)
	return m.tick(now)
}

// takeList takes a list of hosts and instances.
func (m *Machine) takeList(now time.Time, hosts []model.Host, instances []model.Instance) {
	m.listed = true
	m.dirty = true
	m.members.ApplyList(now, hosts)
	m.listInstances(instances)
}

// askFleet asks a peer for what the platform can't tell, when this host knows nothing yet.
func (m *Machine) askFleet() []Action {
	if m.loaded || m.seed.ID == "" {
		return nil
	}
	return []Action{ReadFleet{Host: m.seed}}
}

// fleetRead takes what a peer knows; it is only a start, since every change of a row checks the row's version.
func (m *Machine) fleetRead(now time.Time, event FleetRead) []Action {
	if event.Err != nil || m.loaded {
		return nil
	}
	if !m.listed {
		m.takeList(now, event.Fleet.Hosts, event.Fleet.Instances)
	}
	m.loaded = true
	m.note(Note{Kind: NoteFleetLearnt, Host: event.Host})
	for _, row := range event.Fleet.Rows {
		m.learn(now, row)
	}
	return m.tick(now)
}

// fleet returns what this host knows of the members and the owners.
func (m *Machine) fleet() Fleet {
	known := Fleet{Revision: m.revision, Hosts: append(m.members.Listed(), m.Self)}
	for _, id := range m.order {
		d := m.databases[id]
		for _, instance := range d.listed() {
			known.Instances = append(known.Instances, d.instances[instance].Instance)
		}
		if d.row.Version > 0 {
			known.Rows = append(known.Rows, d.row)
		}
	}
	return known
}

// listInstances takes the instances of the platform's list; one that a row still names is kept when it has gone.
func (m *Machine) listInstances(items []model.Instance) {
	present := make(map[model.InstanceID]bool, len(items))
	for _, item := range items {
		present[item.ID] = true
		d := m.database(item.Database)
		m.instances[item.ID] = d
		if known := d.instances[item.ID]; known != nil {
			known.Instance = item
			known.gone = false
		} else {
			d.add(item)
		}
	}
	for id, d := range m.instances {
		if present[id] {
			continue
		}
		d.instances[id].gone = true
		if !slices.Contains(d.row.Instances, id) {
			d.remove(id)
			delete(m.instances, id)
		}
	}
}
