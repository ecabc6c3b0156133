package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/directory"
	"redwingspread/internal/model"
)

// centres are the data centres of the tests, two in each region.
var centres = map[model.DataCentreID]model.RegionID{
	"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west", "south-a": "south", "south-b": "south",
}

// regionalController returns one of many hosts, spread over the data centres, before a database with an instance in each of
// the given data centres, some time after its start.
func regionalController(age time.Duration, self, hosts int, connections model.Connections, instances ...model.DataCentreID) *Controller {
	order := []model.DataCentreID{"east-a", "west-a", "south-a", "east-b", "west-b", "south-b"}
	now := time.Unix(1000, 0)
	c := New()
	c.Regions = centres
	c.Logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	var rows []Host
	for i := range hosts {
		rows = append(rows, Host{ID: model.HostID(fmt.Sprintf("h%03d", i)), DataCentre: order[i%len(order)], Incarnation: 1})
	}
	c.Self = rows[self]
	c.Handle(now, MembershipUpdate{Full: true, Hosts: rows})
	update := DirectoryUpdate{Source: "store", Position: model.StorePosition{Revision: 9}, Full: true, Configuration: &directory.Configuration{
		Version: 3, Databases: []model.Database{{ID: "seats", Connections: connections}},
	}}
	for i, centre := range instances {
		update.Entries = append(update.Entries, directory.Entry{Instance: directory.Instance{
			Instance: model.Instance{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Database: "seats", DataCentre: centre, Region: centres[centre]},
			Slots:    4, Position: model.StorePosition{Revision: model.Revision(i + 1)},
		}})
	}
	c.Handle(now, update)
	c.started = now.Add(-age)
	c.Handle(now, Tick{})
	return c
}

// TestHomes replays a fleet with more hosts than an instance has connections: each host keeps connections to the nearest
// instance of a database only, and the kept ones leave a quarter of an instance's connections to hosts that take turns.
func TestHomes(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		connections model.Connections
		instances   []model.DataCentreID
		home        map[model.InstanceID]int // hosts that keep connections to each instance
	}{
		"an instance in each region":    {hosts: 114, connections: 88, instances: []model.DataCentreID{"east-a", "west-a", "south-a"}, home: map[model.InstanceID]int{"i0": 38, "i1": 38, "i2": 38}},
		"two instances in one region":   {hosts: 114, connections: 88, instances: []model.DataCentreID{"east-a", "east-b", "south-a"}, home: map[model.InstanceID]int{"i0": 19, "i1": 19, "i2": 38}},
		"all instances in one centre":   {hosts: 114, connections: 24, instances: []model.DataCentreID{"east-a", "east-a", "east-a"}},
		"more home hosts than may keep": {hosts: 114, connections: 40, instances: []model.DataCentreID{"east-a", "west-a", "south-a"}, home: map[model.InstanceID]int{"i0": 23, "i1": 23, "i2": 23}},
		"more hosts than half of them":  {hosts: 30, connections: 46, instances: []model.DataCentreID{"east-a", "west-a", "south-a"}, home: map[model.InstanceID]int{"i0": 10, "i1": 10, "i2": 10}},
		"half, far from all instances":  {hosts: 30, connections: 46, instances: []model.DataCentreID{"north-a", "north-a", "north-a"}, home: map[model.InstanceID]int{"i0": 30, "i1": 30, "i2": 30}},
		"as many hosts as half of them": {hosts: 23, connections: 46, instances: []model.DataCentreID{"east-a", "west-a", "south-a"}, home: map[model.InstanceID]int{"i0": 23, "i1": 23, "i2": 23}},
		"few hosts":                     {hosts: 6, connections: 88, instances: []model.DataCentreID{"east-a", "west-a", "south-a"}, home: map[model.InstanceID]int{"i0": 6, "i1": 6, "i2": 6}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			home := make(map[model.InstanceID]int)
			kept := make(map[model.InstanceID]model.Connections)
			for self := range test.hosts {
				for id, share := range regionalController(time.Minute, self, test.hosts, test.connections, test.instances...).Snapshot().Shares {
					if share.Connections < 1 || share.Slots < 1 {
						t.Errorf("got %+v of %s at host %d, want at least one connection and slot", share, id, self)
					}
					if !share.Scarce {
						home[id]++
						kept[id] += share.Connections
					}
				}
			}
			for id, want := range test.home {
				if got := home[id]; got != want {
					t.Errorf("got %d home hosts of %s, want %d", got, id, want)
				}
			}
			for id, got := range kept {
				if want := test.connections - test.connections/4; got > want {
					t.Errorf("got %d connections of %s kept, want at most %d", got, id, want)
				}
			}
			if sum := home["i0"] + home["i1"] + home["i2"]; test.home == nil && sum == 0 {
				t.Error("got no home host, want some")
			}
		})
	}
}

// TestHomesAfterAStart replays the return of all hosts after a loss of power, while the instances still count what the hosts
// kept before: nobody keeps connections without work then.
func TestHomesAfterAStart(t *testing.T) {
	for age, want := range map[time.Duration]bool{0: true, 2900 * time.Millisecond: true, 3100 * time.Millisecond: false} {
		for id, share := range regionalController(age, 0, 114, 88, "east-a", "west-a", "south-a").Snapshot().Shares {
			if got := share.Scarce; got != want && id == "i0" {
				t.Errorf("got scarce %v %v after the start, want %v", got, age, want)
			}
		}
	}
}
