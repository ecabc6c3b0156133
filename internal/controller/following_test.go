package controller

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// newSpreadFleet returns a fleet whose hosts are in six data centres.
func newSpreadFleet(hosts int) *fleet {
	f := newFleet(hosts, 185)
	for i, id := range f.hosts() {
		f.controllers[id].Self.DataCentre = model.DataCentreID(fmt.Sprintf("dc%d", i%6))
	}
	membership := MembershipUpdate{Full: true, Position: model.StorePosition{Revision: 5}}
	for _, c := range f.controllers {
		c.Self.Incarnation = 2
		membership.Hosts = append(membership.Hosts, c.Self)
	}
	for _, id := range f.hosts() {
		f.handle(id, membership)
	}
	return f
}

// change is what changes in the store in the tests.
func storeChange(era model.Era, revision model.Revision) (DirectoryUpdate, MembershipUpdate) {
	at := model.StorePosition{Era: era, Revision: revision}
	update := DirectoryUpdate{Source: "store", Position: at, Configuration: &directory.Configuration{
		Version: model.Version(revision), Kinds: []model.Kind{{ID: "new"}}, Databases: []model.Database{{ID: "seats", Connections: 185}},
	}, Entries: []directory.Entry{
		{Instance: directory.Instance{Instance: model.Instance{ID: "i1"}, Position: at}, Removed: true},
		{Instance: directory.Instance{Instance: model.Instance{ID: "i2", Database: "seats", Leaving: true}, Slots: 2, Position: at}},
	}}
	return update, MembershipUpdate{Position: model.StorePosition{Era: era, Revision: revision + 1}, Promotions: []Promotion{
		{Database: "seats", Promotion: failover.Promotion{Instance: "i2", Token: 7}},
	}}
}

// knows reports whether a host has all that storeChange changes.
func (f *fleet) knows(id model.HostID, revision model.Revision) bool {
	d := f.controllers[id].Snapshot().Directory
	return d.Version == model.Version(revision) && d.Instances["i2"].Leaving && (d.Missing["i1"] || d.Instances["i1"].ID == "") &&
		f.controllers[id].promotions["seats"].Token == 7
}

// polling returns the hosts that poll the store.
func (f *fleet) polling() (ids []model.HostID) {
	for _, id := range f.hosts() {
		if f.controllers[id].Snapshot().Following != FollowHosts {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestChangesReachAllHosts checks that the number of hosts that poll the store doesn't grow with the fleet, and that a change of the
// store is known everywhere in time, also when those hosts don't reach the store, or a host doesn't hear or reach the others.
func TestChangesReachAllHosts(t *testing.T) {
	const within = 4 * time.Second // of the six within which a configuration must be in force
	tests := map[string]struct {
		hosts      int
		storeLost  bool      // the hosts that poll the store don't reach it
		isolated   bool      // the last host neither hears nor reaches the others
		fetchFails bool      // the last host hears the others and can't fetch from them
		most       int       // hosts that poll the store before the change
		fetches    int       // of the whole fleet; zero for no limit
		era        model.Era // of the change; all hosts have seen higher revisions of the era before
	}{
		"a small fleet":                       {hosts: 4, most: 4},
		"a fleet of hundreds":                 {hosts: 118, most: 12, fetches: 3 * 118},
		"a medium fleet":                      {hosts: 35, most: 12, fetches: 3 * 35},
		"those that poll don't reach it":      {hosts: 118, storeLost: true, most: 12},
		"a host is cut off from the others":   {hosts: 118, isolated: true, most: 13},
		"a host can't fetch from the others":  {hosts: 118, fetchFails: true, most: 13},
		"after an older copy has come back":   {hosts: 118, most: 12, fetches: 3 * 118, era: 1},
		"a small fleet, one host is cut off":  {hosts: 4, isolated: true, most: 4},
		"a medium fleet, one host is cut off": {hosts: 35, isolated: true, most: 13},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSpreadFleet(test.hosts)
			last := f.hosts()[test.hosts-1]
			f.run(8 * time.Second)
			if test.era > 0 {
				for _, id := range f.hosts() {
					f.handle(id, DirectoryUpdate{Source: "store", Position: model.StorePosition{Revision: 200}, Newest: model.StorePosition{Revision: 200}})
					f.handle(id, MembershipUpdate{Position: model.StorePosition{Revision: 201}})
				}
			}
			f.isolated[last], f.fetchFails[last] = test.isolated, test.fetchFails
			f.run(3 * time.Second)
			polling := f.polling()
			if len(polling) > test.most || len(polling) == 0 {
				t.Errorf("got %d hosts that poll the store, want 1 to %d", len(polling), test.most)
			}
			for _, id := range polling {
				f.storeLost[id] = test.storeLost
			}
			clear(f.fetches)
			const revision = 90
			update, membership := storeChange(test.era, revision)
			changed, missing := f.now, test.hosts
			for f.now.Sub(changed) < within && missing > 0 {
				for _, id := range f.polling() {
					if !f.storeLost[id] && (model.StorePosition{Era: test.era, Revision: revision}).After(f.controllers[id].Snapshot().Directory.Position) {
						f.handle(id, update)
						f.handle(id, membership)
					}
				}
				f.run(tick)
				missing = 0
				for id := range f.controllers {
					if !f.knows(id, revision) {
						missing++
					}
				}
			}
			if missing > 0 {
				t.Errorf("got %d hosts that lack the change after %v, want none", missing, within)
			}
			f.run(3 * time.Second)
			total := 0
			for _, count := range f.fetches {
				total += count
			}
			t.Logf("%d hosts polled, known after %v, %d fetches", len(polling), f.now.Sub(changed)-3*time.Second, total)
			if test.fetches > 0 && total > test.fetches {
				t.Errorf("got %d fetches, want at most %d", total, test.fetches)
			}
		})
	}
}

// TestFetchFromAHostThatIsBehind checks that nothing that has been replaced or has left comes back with what another host knows, when
// that host is behind, as when both have lost the store.
func TestFetchFromAHostThatIsBehind(t *testing.T) {
	tests := map[string]struct {
		fetched func(known *View) DirectoryFetchDone // what another host knows
		check   func(c *Controller) (got, want any)
	}{
		"an older configuration": {
			fetched: func(known *View) DirectoryFetchDone {
				return DirectoryFetchDone{Update: &DirectoryUpdate{Source: "host h01", Configuration: &directory.Configuration{
					Version: known.Directory.Version - 1, Kinds: []model.Kind{{ID: "removed"}},
				}}}
			},
			check: func(c *Controller) (got, want any) {
				_, found := c.Snapshot().Directory.Kinds["removed"]
				return found, false
			},
		},
		"an instance that has left": {
			fetched: func(*View) DirectoryFetchDone {
				return DirectoryFetchDone{Update: &DirectoryUpdate{Source: "host h01", Full: true, Position: model.StorePosition{Revision: 40}, Newest: model.StorePosition{Revision: 40}, Entries: []directory.Entry{
					{Instance: directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}, Slots: 2, Position: model.StorePosition{Revision: 2}}},
				}}}
			},
			check: func(c *Controller) (got, want any) {
				d := c.Snapshot().Directory
				_, found := d.Instances["i1"]
				return found && !d.Missing["i1"], false
			},
		},
		"an older promotion": {
			fetched: func(known *View) DirectoryFetchDone {
				return DirectoryFetchDone{Membership: &MembershipUpdate{Full: true, Position: model.StorePosition{Revision: known.Membership.Position.Revision + 1}, Hosts: known.Membership.Hosts, Promotions: []Promotion{
					{Database: "seats", Promotion: failover.Promotion{Instance: "i0", Token: 6}},
				}}}
			},
			check: func(c *Controller) (got, want any) { return c.promotions["seats"].Token, model.Token(7) },
		},
		"older rows of hosts": {
			fetched: func(known *View) DirectoryFetchDone {
				return DirectoryFetchDone{Membership: &MembershipUpdate{Full: true, Position: model.StorePosition{Revision: known.Membership.Position.Revision - 1}, Hosts: []Host{{ID: "gone", Address: "gone"}}}}
			},
			check: func(c *Controller) (got, want any) { return c.hosts["gone"] != nil, false },
		},
		"an older incarnation of a host": {
			fetched: func(known *View) DirectoryFetchDone {
				return DirectoryFetchDone{Membership: &MembershipUpdate{Full: true, Position: model.StorePosition{Revision: known.Membership.Position.Revision + 1}, Hosts: []Host{
					{ID: "h01", Address: "former", DataCentre: "dc1", Incarnation: 1},
				}}}
			},
			check: func(c *Controller) (got, want any) { return c.hosts["h01"].Address, model.Address("h01") },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSpreadFleet(4)
			f.run(2 * time.Second)
			update, membership := storeChange(0, 50)
			for _, id := range f.hosts() {
				f.handle(id, update)
				f.handle(id, membership)
			}
			f.run(time.Second)
			c := f.controllers["h00"]
			done := test.fetched(c.Snapshot())
			done.Host = "h01"
			f.handle("h00", done)
			f.run(time.Second)
			if got, want := test.check(c); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// TestLostRows guards against rows that stay as an older copy of the store has them.
func TestLostRows(t *testing.T) {
	self := Host{ID: "h00", Incarnation: 2, Lone: true}
	promotion := func(token model.Token, nonce model.Nonce) []Promotion {
		return []Promotion{{Database: "seats", Promotion: failover.Promotion{Token: token}, Nonce: nonce}}
	}
	tests := map[string]struct {
		known, listed []Promotion
		row           Host
		host          bool
		promotions    int
	}{
		"nothing":                   {row: self, known: promotion(7, "n"), listed: promotion(7, "n")},
		"the own row":               {row: Host{ID: "h01"}, host: true},
		"the newest own row":        {row: Host{ID: "h00", Incarnation: 1, Lone: true}, host: true},
		"that the host is alone":    {row: Host{ID: "h00", Incarnation: 2}, host: true},
		"the row of a later start":  {row: Host{ID: "h00", Incarnation: 3}},
		"a promotion":               {row: self, known: promotion(7, "n"), promotions: 1},
		"the newest promotion":      {row: self, known: promotion(7, "n"), listed: promotion(6, "o"), promotions: 1},
		"a promotion known in part": {row: self, known: promotion(7, "")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			known := Membership{Promotions: test.known}
			got := known.Lost(self, MembershipUpdate{Hosts: []Host{test.row}, Promotions: test.listed})
			if got.Host != test.host || len(got.Promotions) != test.promotions {
				t.Errorf("got %+v, want the host: %v, and %d promotions", got, test.host, test.promotions)
			}
		})
	}
}
