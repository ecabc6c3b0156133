package local

import (
	"fmt"
	"time"

	"redwingspread/internal/model"
)

// Location is a data centre and its region.
type Location struct {
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// Plan describes the size and the timing of one user's deployment.
type Plan struct {
	User              string
	Databases         []model.DatabaseID
	Locations         []Location        // instance i of each database is at location i
	Hosts             int               // number of hosts
	Slots             model.Slots       // concurrent statements of each instance
	Connections       model.Connections // open connections of each instance
	ConnectionCost    time.Duration     // time to open a connection
	ServiceTime       time.Duration     // time that a statement holds its slot
	Lag               time.Duration     // replication lag
	DataCentreLatency time.Duration     // one-way, between data centres of a region
	RegionLatency     time.Duration     // one-way, between regions
	CallerLatency     time.Duration     // one-way, between callers and hosts
}

// hostsPerUser is the number of hosts that each user runs.
const hostsPerUser = 4

// AuthorityPlan returns the plan of the Gulf Plains Community Education Authority.
func AuthorityPlan() Plan {
	return Plan{
		User:      "authority",
		Databases: []model.DatabaseID{"enrolment-1", "enrolment-2", "enrolment-3"},
		Locations: []Location{
			{"coastal-1", "coastal"},
			{"brazos-1", "brazos"},
			{"hill-country-1", "hill-country"},
		},
		Hosts:             hostsPerUser,
		Slots:             2,
		Connections:       15,
		ConnectionCost:    10 * time.Millisecond,
		ServiceTime:       2 * time.Millisecond,
		Lag:               10 * time.Millisecond,
		DataCentreLatency: time.Millisecond,
		RegionLatency:     10 * time.Millisecond,
		CallerLatency:     time.Millisecond,
	}
}

// LibraryPlan returns the plan of the Karaganda Municipal Lamp Library.
func LibraryPlan() Plan {
	return Plan{
		User:      "library",
		Databases: []model.DatabaseID{"loans-1", "loans-2", "loans-3"},
		Locations: []Location{
			{"karaganda-1", "karaganda"},
			{"temirtau-1", "temirtau"},
			{"astana-1", "astana"},
		},
		Hosts:             hostsPerUser,
		Slots:             5,
		Connections:       55,
		ConnectionCost:    30 * time.Millisecond,
		ServiceTime:       2 * time.Millisecond,
		Lag:               10 * time.Millisecond,
		DataCentreLatency: 1500 * time.Microsecond,
		RegionLatency:     10 * time.Millisecond,
		CallerLatency:     time.Millisecond,
	}
}

// instanceID returns the id of an instance of a database.
func instanceID(database model.DatabaseID, index int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s-%c", database, 'a'+rune(index)))
}

// hostID returns the id of a host of the user.
func (p Plan) hostID(index int) model.HostID {
	return model.HostID(fmt.Sprintf("%s-host-%d", p.User, index+1))
}

// location returns the location of the instance or host with the index.
func (p Plan) location(index int) Location {
	return p.Locations[index%len(p.Locations)]
}
