package capacity

import (
	"fmt"

	"redwingspread/internal/model"
)

// The fleet's layout in two years.
const (
	regions              = 2
	dataCentres          = 8
	instancesPerDatabase = 3
)

// incarnation is the run of every host of the measured fleet.
const incarnation model.Incarnation = 1

// environment is what surrounds the measured daemon: it answers as the platform, the endpoints and the other hosts do.
type environment struct {
	hosts         []model.Host
	instances     []model.Instance
	states        map[model.InstanceID]model.InstanceState
	ownedByDaemon int // databases of the measured daemon at the start
	revision      model.Revision
}

// newEnvironment returns a fleet of the sizes.
func newEnvironment(hosts, databases int) *environment {
	o := &environment{states: map[model.InstanceID]model.InstanceState{}}
	for number := range hosts {
		o.hosts = append(o.hosts, newHost(number))
	}
	for number := range databases {
		o.addDatabase(number)
	}
	return o
}

// locationOf returns a data centre and its region.
func locationOf(number int) (model.DataCentreID, model.RegionID) {
	centre := number % dataCentres
	return model.DataCentreID(fmt.Sprintf("dc%d", centre)), model.RegionID(fmt.Sprintf("region%d", centre%regions))
}

// newHost returns the host with the number.
func newHost(number int) model.Host {
	centre, region := locationOf(number)
	return model.Host{
		ID:         model.HostID(fmt.Sprintf("host%04d", number)),
		Address:    model.Address(fmt.Sprintf("10.1.%d.%d:7001", number/250, number%250)),
		DataCentre: centre,
		Region:     region,
	}
}

// addDatabase adds a database whose first instance is its primary.
func (o *environment) addDatabase(number int) {
	database := model.DatabaseID(fmt.Sprintf("database%04d", number))
	for i := range instancesPerDatabase {
		centre, region := locationOf(number + i)
		id := model.InstanceID(fmt.Sprintf("%s-%d", database, i))
		o.instances = append(o.instances, model.Instance{
			ID:         id,
			Database:   database,
			Address:    model.Address(fmt.Sprintf("10.2.%d.%d:%d", number/250, number%250, 7000+i)),
			DataCentre: centre,
			Region:     region,
		})
		o.states[id] = newInstanceState(id, database, i == 0)
	}
}

// newInstanceState returns the state of an instance of a new group.
func newInstanceState(id model.InstanceID, database model.DatabaseID, primary bool) model.InstanceState {
	state := model.InstanceState{
		Instance: id,
		Database: database,
		Role:     model.RoleReplica,
		Term:     1,
		Timeline: model.Timeline{{Term: 1}},
		Slots:    5,
	}
	if primary {
		state.Role = model.RolePrimary
	}
	return state
}

// rows returns the rows of all databases, of which the measured host owns its share.
func (o *environment) rows() []model.Ownership {
	var rows []model.Ownership
	share := (len(o.instances)/instancesPerDatabase + len(o.hosts) - 1) / len(o.hosts)
	for number := 0; number < len(o.instances)/instancesPerDatabase; number++ {
		group := o.instances[number*instancesPerDatabase : (number+1)*instancesPerDatabase]
		owner := o.hosts[number%len(o.hosts)].ID
		if number%dataCentres == 0 && o.ownedByDaemon < share {
			owner = o.hosts[0].ID
			o.ownedByDaemon++
		}
		o.revision++
		rows = append(rows, newOwnership(group, owner))
	}
	return rows
}

// newOwnership returns the row of a database whose first instance is primary.
func newOwnership(group []model.Instance, owner model.HostID) model.Ownership {
	row := model.Ownership{
		Database:    group[0].Database,
		Owner:       owner,
		Incarnation: incarnation,
		Term:        2,
		Primary:     group[0].ID,
		Timeline:    model.Timeline{{Term: 1}, {Term: 2}},
		Nonce:       "nonce",
		Version:     1,
	}
	for _, instance := range group {
		row.Instances = append(row.Instances, instance.ID)
	}
	return row
}

// setRole moves an instance to a term, as primary when it is promoted.
func (o *environment) setRole(id model.InstanceID, term model.Term, role model.Role) model.InstanceState {
	state := o.states[id]
	if term > state.Term {
		state.Term = term
		state.Timeline = append(state.Timeline[:len(state.Timeline):len(state.Timeline)], model.Point{Term: term})
	}
	state.Role = role
	o.states[id] = state
	return state
}
