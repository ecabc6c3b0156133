package local

import (
	"fmt"
	"time"

	"redwingspread/internal/model"
)

// Place is one data centre and its region.
type Place struct {
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// Plan is the size of one user's deployment.
type Plan struct {
	User           string
	Databases      []model.DatabaseID
	Places         []Place // instance i of each database is at place i
	Hosts          int
	Slots          model.Slots
	Connections    model.Connections
	ConnectionCost time.Duration
	ServiceTime    time.Duration
	Lag            time.Duration
	BetweenCentres time.Duration // one way, within a region
	BetweenRegions time.Duration // one way
	ToCallers      time.Duration // one way
}

// hostsOfUser is the number of entry hosts that each user has today.
const hostsOfUser = 4

// Authority returns the plan of the Gulf Plains Community Education Authority.
func Authority() Plan {
	return Plan{
		User:      "authority",
		Databases: []model.DatabaseID{"enrolment-1", "enrolment-2", "enrolment-3"},
		Places: []Place{
			{"coastal-1", "coastal"},
			{"brazos-1", "brazos"},
			{"hill-country-1", "hill-country"},
		},
		Hosts:          hostsOfUser,
		Slots:          2,
		Connections:    15,
		ConnectionCost: 10 * time.Millisecond,
		ServiceTime:    2 * time.Millisecond,
		Lag:            10 * time.Millisecond,
		BetweenCentres: time.Millisecond,
		BetweenRegions: 10 * time.Millisecond,
		ToCallers:      time.Millisecond,
	}
}

// Library returns the plan of the Karaganda Municipal Lamp Library.
func Library() Plan {
	return Plan{
		User:      "library",
		Databases: []model.DatabaseID{"loans-1", "loans-2", "loans-3"},
		Places: []Place{
			{"karaganda-1", "karaganda"},
			{"temirtau-1", "temirtau"},
			{"astana-1", "astana"},
		},
		Hosts:          hostsOfUser,
		Slots:          5,
		Connections:    55,
		ConnectionCost: 30 * time.Millisecond,
		ServiceTime:    2 * time.Millisecond,
		Lag:            10 * time.Millisecond,
		BetweenCentres: 1500 * time.Microsecond,
		BetweenRegions: 10 * time.Millisecond,
		ToCallers:      time.Millisecond,
	}
}

// instanceID names one instance of a database.
func instanceID(database model.DatabaseID, index int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s-%c", database, 'a'+rune(index)))
}

// hostID names one host of a user.
func (p Plan) hostID(index int) model.HostID {
	return model.HostID(fmt.Sprintf("%s-host-%d", p.User, index+1))
}

// place returns the place of the instance or host with the index.
func (p Plan) place(index int) Place {
	return p.Places[index%len(p.Places)]
}
