package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/holder"
	"redwingspread/internal/model"
)

// relayAddress returns the address of a host in the tests of holders.
func relayAddress(id model.HostID) model.Address { return model.Address(id) + ":1" }

// holderAddresses returns the addresses of the holders, the preferred one first.
func holderAddresses(holders *holder.Set) (addresses []model.Address) {
	hosts, _ := holders.Order(nil, "", 0)
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

// holdersView returns the shares of one host of a fleet with a database of three instances; change may change the hosts' rows.
func holdersView(self, hosts int, connections model.Connections, change func(i int, row *Host), then func(now time.Time, c *Controller)) map[model.InstanceID]Share {
	c := regionalController(time.Minute, self, hosts, connections, "east-a", "west-a", "south-a")
	now := time.Unix(1000, 0)
	var rows []Host
	for i := range hosts {
		id := model.HostID(fmt.Sprintf("h%03d", i))
		row := c.Self
		if known, found := c.hosts[id]; found {
			row = known.Host
		}
		row.Relay = relayAddress(id)
		change(i, &row)
		rows = append(rows, row)
	}
	c.Self = rows[self]
	for i := range rows {
		rows[i].Incarnation++
	}
	c.Handle(now, MembershipUpdate{Full: true, Hosts: rows})
	then(now, c)
	c.Handle(now, Tick{})
	return c.Snapshot().Shares
}

// TestHolders guards against hosts that disagree on who keeps connections to an instance, holders that are far away, gone or don't take
// requests, and a change of fleets that don't use the relay or aren't crowded.
func TestHolders(t *testing.T) {
	keep := func(int, *Host) {}
	unchanged := func(time.Time, *Controller) {}
	const hosts = 60
	tests := map[string]struct {
		hosts       int
		connections model.Connections
		change      func(i int, row *Host)
		then        func(now time.Time, c *Controller)
		missing     func(i int) bool // hosts that must not be holders, and whose view isn't compared
		want        int              // holders of each instance; 0 for none
		centre      bool             // all of them are in the instance's data centre
	}{
		"crowded":            {hosts: hosts, connections: 46, change: keep, then: unchanged, want: holderCount, centre: true},
		"few hosts":          {hosts: 9, connections: 46, change: keep, then: unchanged},
		"relay off":          {hosts: hosts, connections: 46, change: func(_ int, row *Host) { row.Relay = "" }, then: unchanged},
		"few in each centre": {hosts: 18, connections: 16, change: keep, then: unchanged, want: holderCount},
		"some of an old build": {
			hosts: hosts, connections: 46, then: unchanged, want: holderCount, centre: true,
			change:  func(i int, row *Host) { row.Relay = map[bool]model.Address{true: row.Relay}[i >= 18] },
			missing: func(i int) bool { return i < 18 },
		},
		"some leave": {
			hosts: hosts, connections: 46, change: keep, want: holderCount, centre: true, missing: func(i int) bool { return i < 18 },
			then: func(now time.Time, c *Controller) {
				for i := range 18 {
					c.Handle(now, HeartbeatReceived{Heartbeat: Heartbeat{Host: model.HostID(fmt.Sprintf("h%03d", i)), Incarnation: 2, Leaving: true}})
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			agreed := make(map[model.InstanceID][]model.Address)
			first := make(map[model.InstanceID]map[model.Address]int) // number of hosts that prefer a holder
			for self := range test.hosts {
				if test.missing != nil && test.missing(self) {
					continue
				}
				for id, share := range holdersView(self, test.hosts, test.connections, test.change, test.then) {
					if share.Holders == nil {
						if test.want > 0 && share.Scarce {
							t.Errorf("got no holders of %s at host %d, want some", id, self)
						}
						continue
					}
					got := holderAddresses(share.Holders)
					if first[id] == nil {
						first[id] = make(map[model.Address]int)
					}
					first[id][got[0]]++
					slices.Sort(got)
					if agreed[id] == nil {
						agreed[id] = got
					}
					if !slices.Equal(got, agreed[id]) {
						t.Errorf("got holders %v of %s at host %d, want %v as elsewhere", got, id, self, agreed[id])
					}
					if slices.Contains(got, relayAddress(model.HostID(fmt.Sprintf("h%03d", self)))) {
						t.Errorf("got host %d to pass requests on to itself", self)
					}
				}
			}
			for _, id := range []model.InstanceID{"i0", "i1", "i2"} {
				if got := len(agreed[id]); got != test.want {
					t.Errorf("got %d holders of %s, want %d", got, id, test.want)
				}
				for _, address := range agreed[id] {
					var i int
					if _, err := fmt.Sscanf(string(address), "h%03d:1", &i); err != nil {
						t.Fatal(err)
					}
					if test.missing != nil && test.missing(i) {
						t.Errorf("got host %d as a holder of %s, want it left out", i, id)
					}
					if instance := int(id[1] - '0'); test.centre && i%6 != instance {
						t.Errorf("got host %d as a holder of %s, want one of its data centre", i, id)
					}
					if callers := test.hosts - test.want; first[id][address] < callers/(3*test.want) {
						t.Errorf("got %d hosts that prefer %s for %s, want about a quarter of %d", first[id][address], address, id, callers)
					}
				}
			}
		})
	}
}

// TestHoldersAfterALoss guards against requests that are passed on to a dead host for as long as its row lasts.
func TestHoldersAfterALoss(t *testing.T) {
	var before, after []model.Address
	holdersView(59, 60, 46, func(int, *Host) {}, func(now time.Time, c *Controller) {
		c.Handle(now, Tick{})
		before = holderAddresses(c.Snapshot().Shares["i0"].Holders)
		for i := range 59 {
			id := model.HostID(fmt.Sprintf("h%03d", i))
			if later := now.Add(time.Minute); relayAddress(id) != before[0] {
				c.Handle(later, HeartbeatReceived{Heartbeat: Heartbeat{Host: id, Incarnation: 2}})
			}
		}
		c.Handle(now.Add(time.Minute), Tick{})
		after = holderAddresses(c.Snapshot().Shares["i0"].Holders)
	})
	if slices.Contains(after, before[0]) || len(after) != holderCount {
		t.Errorf("got holders %v after the loss of %s, want %d others", after, before[0], holderCount)
	}
}

// TestHoldersByTenant guards against connections of tenants that are opened for a single statement, since each host has fewer of them than
// there are tenants, and against a change of deployments with few tenants or without the relay.
func TestHoldersByTenant(t *testing.T) {
	keep := func(int, *Host) {}
	tests := map[string]struct {
		hosts, tenants int
		change         func(i int, row *Host)
		want           int // holders of each instance; 0 for none
	}{
		"more tenants than connections": {hosts: 32, tenants: 83, change: keep, want: holderCount},
		"few tenants":                   {hosts: 8, tenants: 3, change: keep},
		"few hosts":                     {hosts: 4, tenants: 83, change: keep},
		"no tenants":                    {hosts: 32, change: keep},
		"relay off":                     {hosts: 32, tenants: 83, change: func(_ int, row *Host) { row.Relay = "" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			configuration := directory.Configuration{Version: 4, Keyed: test.tenants > 0, Databases: []model.Database{{ID: "seats", Connections: 79}}}
			for i := range test.tenants {
				configuration.Tenants = append(configuration.Tenants, model.Tenant{ID: model.TenantID(fmt.Sprintf("t%d", i))})
			}
			serving := make(map[model.InstanceID]int) // hosts that take requests themselves
			for self := range test.hosts {
				shares := holdersView(self, test.hosts, 79, test.change, func(now time.Time, c *Controller) {
					c.Handle(now, DirectoryUpdate{Source: "store", Configuration: &configuration})
				})
				for id, share := range shares {
					if got, want := share.Holders != nil, test.want > 0; got != want {
						t.Fatalf("got holders of %s at host %d: %t, want %t", id, self, got, want)
					}
					if test.want == 0 {
						continue
					}
					if got := len(holderAddresses(share.Holders)); got != test.want {
						t.Errorf("got %d holders of %s, want %d", got, id, test.want)
					}
					if share.Holders.Includes(model.HostID(fmt.Sprintf("h%03d", self))) {
						serving[id]++
					}
				}
			}
			for id, got := range serving {
				if got != test.want {
					t.Errorf("got %d hosts that take requests for %s, want %d", got, id, test.want)
				}
			}
		})
	}
}
