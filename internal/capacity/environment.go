package capacity

import (
	"fmt"

	"redwingspread/internal/model"
)

// Layout of the fleet that is expected in two years.
const (
	regions              = 2
	dataCentres          = 8
	instancesPerDatabase = 3
)

// incarnation is the incarnation of every simulated host.
const incarnation model.Incarnation = 1

// environment simulates what surrounds the measured host: the platform, the endpoints and the other hosts.
type environment struct {
	hosts               []model.Host // the first one is the measured host
	instances           []model.Instance
	states              map[model.InstanceID]model.InstanceState
	ownedByMeasuredHost int            // number of databases that the measured host owns at the start
	revision            model.Revision // of the ownership table
}

// newEnvironment returns an environment with the given numbers of hosts and databases.
func newEnvironment(hosts, databases int) *environment {
	e := &environment{states: map[model.InstanceID]model.InstanceState{}}
	for number := range hosts {
		e.hosts = append(e.hosts, newHost(number))
	}
	for number := range databases {
		e.addDatabase(number)
	}
	return e
}

// locationOf returns the data centre and region of the host or instance with the number.
func locationOf(number int) (model.DataCentreID, model.RegionID) {
	centre := number % dataCentres
	return model.DataCentreID(fmt.Sprintf("dc%d", centre)), model.RegionID(fmt.Sprintf("region%d", centre%regions))
}

// newHost returns the host with the given number.
func newHost(number int) model.Host {
	centre, region := locationOf(number)
	return model.Host{
		ID:         model.HostID(fmt.Sprintf("host%04d", number)),
		Address:    model.Address(fmt.Sprintf("10.1.%d.%d:7001", number/250, number%250)),
		DataCentre: centre,
		Region:     region,
	}
}

// addDatabase adds the instances of a database, of which the first is the primary.
func (e *environment) addDatabase(number int) {
	database := model.DatabaseID(fmt.Sprintf("database%04d", number))
	for i := range instancesPerDatabase {
		centre, region := locationOf(number + i)
		id := model.InstanceID(fmt.Sprintf("%s-%d", database, i))
		e.instances = append(e.instances, model.Instance{
			ID:         id,
			Database:   database,
			Address:    model.Address(fmt.Sprintf("10.2.%d.%d:%d", number/250, number%250, 7000+i)),
			DataCentre: centre,
			Region:     region,
		})
		e.states[id] = newInstanceState(id, database, i == 0)
	}
}

// newInstanceState returns the state of an instance of a new database.
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

// rows returns the ownership rows of all databases; the measured host owns its share of them.
func (e *environment) rows() []model.Ownership {
	var rows []model.Ownership
	share := (len(e.instances)/instancesPerDatabase + len(e.hosts) - 1) / len(e.hosts)
	for number := 0; number < len(e.instances)/instancesPerDatabase; number++ {
		group := e.instances[number*instancesPerDatabase : (number+1)*instancesPerDatabase]
		owner := e.hosts[number%len(e.hosts)].ID
		if number%dataCentres == 0 && e.ownedByMeasuredHost < share {
			owner = e.hosts[0].ID
			e.ownedByMeasuredHost++
		}
		e.revision++
		rows = append(rows, newOwnership(group, owner))
	}
	return rows
}

// newOwnership returns the ownership row of a database whose first instance is the primary.
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

// setRole sets the role of an instance, raises its term if the given one is newer, and returns its new state.
func (e *environment) setRole(id model.InstanceID, term model.Term, role model.Role) model.InstanceState {
	state := e.states[id]
	if term > state.Term {
		state.Term = term
		state.Timeline = append(state.Timeline[:len(state.Timeline):len(state.Timeline)], model.Point{Term: term})
	}
	state.Role = role
	e.states[id] = state
	return state
}
