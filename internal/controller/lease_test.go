package controller

import (
	"testing"
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
)

// newUnfencedFleet returns a fleet on a platform that doesn't fence primaries, once its hosts have heard each other.
func newUnfencedFleet(hosts int) *fleet {
	f := newFleet(hosts, 16)
	for _, c := range f.controllers {
		c.Unfenced = true
		c.startLease()
		c.lease.RowsRead(0)
		c.monitorOf("seats").Unfenced = true
	}
	f.health = func(_ model.HostID, instance model.InstanceID) failover.Health {
		if instance == "i0" {
			return failover.Health{Term: 1, LastProof: f.now}
		}
		return failover.Health{LastRefusal: f.now}
	}
	f.run(2 * time.Second)
	return f
}

// leaseLeft returns the rest of a host's lease.
func (f *fleet) leaseLeft(id model.HostID) time.Duration {
	return f.controllers[id].Snapshot().Lease.Sub(model.Instant(f.now.UnixNano()))
}

// TestLease checks which hosts may use an unfenced primary, and for how long a host may that hears no other.
func TestLease(t *testing.T) {
	tests := map[string]struct {
		hosts    int
		isolated []model.HostID
		span     time.Duration
		keeps    map[model.HostID]bool
	}{
		"one host":                         {hosts: 1, span: time.Second, keeps: map[model.HostID]bool{"h00": true}},
		"all are heard":                    {hosts: 4, span: 5 * time.Second, keeps: map[model.HostID]bool{"h00": true, "h03": true}},
		"one is cut off":                   {hosts: 4, isolated: []model.HostID{"h00"}, span: 2 * time.Second, keeps: map[model.HostID]bool{"h00": false, "h01": true, "h03": true}},
		"one is cut off for a moment":      {hosts: 4, isolated: []model.HostID{"h00"}, span: 500 * time.Millisecond, keeps: map[model.HostID]bool{"h00": true}},
		"half of them are cut off":         {hosts: 4, isolated: []model.HostID{"h00", "h01"}, span: 2 * time.Second, keeps: map[model.HostID]bool{"h00": false, "h03": false}},
		"the receivers rotate":             {hosts: 35, span: 5 * time.Second, keeps: map[model.HostID]bool{"h00": true, "h17": true, "h34": true}},
		"one of many is cut off":           {hosts: 35, isolated: []model.HostID{"h17"}, span: 5 * time.Second, keeps: map[model.HostID]bool{"h17": false, "h16": true}},
		"many are cut off from the others": {hosts: 9, isolated: []model.HostID{"h00", "h01", "h02", "h03"}, span: 5 * time.Second, keeps: map[model.HostID]bool{"h00": false, "h08": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newUnfencedFleet(test.hosts)
			for _, id := range test.isolated {
				f.isolated[id] = true
			}
			f.run(test.span)
			for id, want := range test.keeps {
				if got := f.leaseLeft(id) > 0; got != want {
					t.Errorf("got a lease of %s at %s, want one: %v", f.leaseLeft(id), id, want)
				}
			}
		})
	}
}

// TestCutOffHostKeepsAnUnfencedPrimary replays a host that hears no other host and not the primary, while the primary serves
// the others. Where the platform doesn't fence, it must not replace that primary.
func TestCutOffHostKeepsAnUnfencedPrimary(t *testing.T) {
	tests := map[string]struct {
		unfenced, entryGone bool
		want                int
	}{
		"unfenced":                            {unfenced: true},
		"unfenced, and the entry is gone too": {unfenced: true, entryGone: true, want: 1},
		"fenced":                              {want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newUnfencedFleet(4)
			c := f.controllers["h00"]
			if !test.unfenced {
				c.lease, c.Unfenced, c.monitorOf("seats").Unfenced = nil, false, false
			}
			f.isolated["h00"] = true
			lostAt := f.now
			healthy := f.health
			f.health = func(host model.HostID, instance model.InstanceID) failover.Health {
				if host == "h00" && instance == "i0" {
					return failover.Health{Term: 1, LastProof: lostAt, SilentSince: lostAt.Add(time.Millisecond)}
				}
				return healthy(host, instance)
			}
			if test.entryGone {
				f.handle("h00", DirectoryUpdate{Source: "store", Position: model.StorePosition{Revision: 10}, Entries: []directory.Entry{{Instance: directory.Instance{
					Instance: model.Instance{ID: "i0", Database: "seats"}, Position: model.StorePosition{Revision: 10},
				}, Removed: true}}})
			}
			f.run(3300 * time.Millisecond)
			if got := len(f.changes); got != test.want {
				t.Errorf("got %d changes by %v, want %d", got, f.changedBy, test.want)
			}
		})
	}
}

// TestPromotionWaitsForRelease checks that a promotion is cleared once no host can use the replaced primary any more.
func TestPromotionWaitsForRelease(t *testing.T) {
	tests := map[string]struct {
		hosts           int
		inUse, isolated []model.HostID
		lone            model.HostID  // host whose row says that it may renew its lease from the store
		silentFor       time.Duration // time for which the isolated hosts have not been heard
		from, to        time.Duration // when the promotion is cleared
	}{
		"all hosts release it at once":        {hosts: 4, to: 500 * time.Millisecond},
		"a large fleet releases it":           {hosts: 35, to: time.Second},
		"one host is cut off":                 {hosts: 4, isolated: []model.HostID{"h02"}, from: 1250 * time.Millisecond, to: 2 * time.Second},
		"statements of one host never end":    {hosts: 4, inUse: []model.HostID{"h02"}, from: 1400 * time.Millisecond, to: 2 * time.Second},
		"one host is gone for long":           {hosts: 4, isolated: []model.HostID{"h02"}, silentFor: 3 * time.Second, to: 500 * time.Millisecond},
		"one of many is gone for long":        {hosts: 35, isolated: []model.HostID{"h17"}, silentFor: 6 * time.Second, to: time.Second},
		"a host that reads the store is gone": {hosts: 4, isolated: []model.HostID{"h02"}, lone: "h02", silentFor: 3 * time.Second, from: 1400 * time.Millisecond, to: 2 * time.Second},
		"half of them are gone for long":      {hosts: 4, isolated: []model.HostID{"h02", "h03"}, silentFor: 3 * time.Second, to: 500 * time.Millisecond},
		"half of the hosts are cut off":       {hosts: 4, isolated: []model.HostID{"h02", "h03"}, from: 1250 * time.Millisecond, to: 2 * time.Second},
		"a majority is cut off":               {hosts: 4, isolated: []model.HostID{"h01", "h02", "h03"}, from: 7 * time.Second, to: 8 * time.Second},
		"statements of the acting host go on": {hosts: 4, inUse: []model.HostID{"h00"}, from: time.Minute, to: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newUnfencedFleet(test.hosts)
			f.inUse = make(map[model.HostID]bool)
			for _, id := range test.inUse {
				f.inUse[id] = true
			}
			for _, id := range test.isolated {
				f.isolated[id] = true
			}
			f.run(test.silentFor)
			c := f.controllers["h00"]
			c.changing["seats"] = true
			var rows []Host
			for _, id := range f.hosts() {
				rows = append(rows, Host{ID: id, Lone: id == test.lone})
			}
			f.handle("h00", PromotionClaimed{
				Promotion: Promotion{Database: "seats", Promotion: failover.Promotion{Instance: "i1", Token: 1, Holder: "h00"}},
				Hosts:     rows,
			})
			took := time.Duration(0)
			for took = 0; took < 10*time.Second && c.Snapshot().Primaries["seats"].Cleared != 1; took += tick {
				f.run(tick)
			}
			if took == 10*time.Second {
				took = time.Minute
			}
			if took < test.from || took > test.to {
				t.Errorf("got it cleared after %v, want between %v and %v", took, test.from, test.to)
			}
			for _, id := range f.hosts() {
				if got, want := f.controllers[id].Snapshot().Primaries["seats"].Assigned.Instance, model.InstanceID("i1"); got != want && !f.isolated[id] {
					t.Errorf("got %q assigned at %s, want %q", got, id, want)
				}
			}
		})
	}
}

// TestCutOffHostRenewsItsLeaseFromTheStore checks that a host that hears no other serves on while it reaches the store, and
// learns of a promotion there.
func TestCutOffHostRenewsItsLeaseFromTheStore(t *testing.T) {
	f := newUnfencedFleet(4)
	f.isolated["h00"] = true
	f.rows = func() *MembershipUpdate { return &MembershipUpdate{} }
	f.run(5 * time.Second)
	if got := f.leaseLeft("h00"); got <= 0 {
		t.Errorf("got a lease of %v, want one from the store", got)
	}
	f.rows = func() *MembershipUpdate {
		return &MembershipUpdate{Promotions: []Promotion{{Database: "seats", Promotion: failover.Promotion{Instance: "i1", Token: 4}}}}
	}
	f.run(2 * time.Second)
	want := lease.Assignment{Database: "seats", Instance: "i1", Token: 4}
	if got := f.controllers["h00"].Snapshot().Primaries["seats"].Assigned; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	f.rows = nil
	f.run(3 * time.Second)
	if got := f.leaseLeft("h00"); got > 0 {
		t.Errorf("got a lease of %v while neither hosts nor the store are heard, want none", got)
	}
}

// TestOutOfTouch checks when a host refuses statements for lack of a lease at once: not while its first lease, or the one that a
// host that has joined confirms, is still to be expected.
func TestOutOfTouch(t *testing.T) {
	const second = model.Instant(time.Second)
	tests := map[string]struct {
		view View
		now  model.Instant
		want bool
	}{
		"nothing is known yet":             {now: 100 * second},
		"just started":                     {view: View{SettledBy: 101 * second}, now: 100 * second},
		"started long ago without a lease": {view: View{SettledBy: 101 * second}, now: 102 * second, want: true},
		"has a lease":                      {view: View{SettledBy: 10 * second, Lease: 101 * second}, now: 100 * second},
		"the lease has just ended":         {view: View{SettledBy: 10 * second, Lease: 100 * second}, now: 100*second + second/4},
		"the lease ended long ago":         {view: View{SettledBy: 10 * second, Lease: 90 * second}, now: 100 * second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.view.OutOfTouch(test.now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestStartingHostIsNotOutOfTouch replays the start of a fleet, in which no host has a lease before others have answered, and of a
// host that nobody answers.
func TestStartingHostIsNotOutOfTouch(t *testing.T) {
	tests := map[string]struct {
		isolated bool
		span     time.Duration
		want     bool
	}{
		"before the first answers":        {span: 100 * time.Millisecond},
		"cut off from its start":          {isolated: true, span: 500 * time.Millisecond},
		"cut off for longer than a lease": {isolated: true, span: 5 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, 16)
			f.isolated["h00"] = test.isolated
			for _, c := range f.controllers {
				c.Unfenced = true
				c.startLease()
			}
			f.run(test.span)
			if got := f.controllers["h00"].Snapshot().OutOfTouch(model.Instant(f.now.UnixNano())); got != test.want {
				t.Errorf("got %v after %s, want %v", got, test.span, test.want)
			}
		})
	}
}

// TestOrderThatIsNotCarriedOut replays a promotion whose order got no answer: the instance that was ordered, a replica still, stays a
// candidate while it responds, since the platform may carry the order out later.
func TestOrderThatIsNotCarriedOut(t *testing.T) {
	tests := map[string]struct {
		health func(now, since time.Time) failover.Health // of the instance that was ordered
		want   bool
	}{
		"it says that it is a replica": {want: true, health: func(now, _ time.Time) failover.Health {
			return failover.Health{LastRefusal: now}
		}},
		"it led and was lost": {health: func(_, since time.Time) failover.Health {
			return failover.Health{Term: 2, LastProof: since, SilentSince: since.Add(tick)}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newUnfencedFleet(4)
			for _, c := range f.controllers {
				c.Handle(f.now, PromotionsRead{Update: &MembershipUpdate{Promotions: []Promotion{{Database: "seats", Promotion: failover.Promotion{Instance: "i1", Token: 1}}}}})
			}
			since := f.now
			f.health = func(_ model.HostID, instance model.InstanceID) failover.Health {
				if instance == "i1" {
					return test.health(f.now, since)
				}
				return failover.Health{LastRefusal: f.now}
			}
			for range 400 {
				f.run(tick)
				if len(f.changes) > 0 {
					break
				}
			}
			if len(f.changes) == 0 {
				t.Fatal("got no change of the primary, want one")
			}
			got := false
			for _, replica := range f.changes[0].Replicas {
				got = got || replica.ID == "i1"
			}
			if got != test.want {
				t.Errorf("got candidates %+v, want the ordered instance among them: %v", f.changes[0].Replicas, test.want)
			}
		})
	}
}
